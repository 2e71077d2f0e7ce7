package controller

import (
	"time"

	"ravenport/actor"
)

// stepPacer keeps an actor's steps apart, so that what arrives between two steps is
// decided together.
type stepPacer struct {
	self          *actor.Ref
	lastStep      time.Time
	stepScheduled bool // a wake for the next step is on its way
	tickScheduled bool // a wake of the regular tick is on its way
}

// noteWake notes that a scheduled wake has arrived.
func (p *stepPacer) noteWake(w wake) {
	if w.deferredStep {
		p.stepScheduled = false
	} else {
		p.tickScheduled = false
	}
}

// scheduleTick wakes the actor after a time, unless a tick is scheduled already.
func (p *stepPacer) scheduleTick(after time.Duration) {
	if p.tickScheduled {
		return
	}
	p.tickScheduled = true
	time.AfterFunc(after, func() { p.self.Tell(wake{}) })
}

// startStep returns whether a step may be made now, and notes it as made. Otherwise it
// schedules a wake for when the next one may be.
func (p *stepPacer) startStep(now time.Time, gap time.Duration) bool {
	wait := p.lastStep.Add(gap).Sub(now)
	if wait <= 0 {
		p.lastStep = now
		return true
	}
	if !p.stepScheduled {
		p.stepScheduled = true
		time.AfterFunc(wait, func() { p.self.Tell(wake{deferredStep: true}) })
	}
	return false
}
