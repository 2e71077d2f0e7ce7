package controller

import (
	"time"

	"ravenport/actor"
)

// stepPacer enforces a minimum interval between an actor's steps, so that messages that
// arrive between two steps are handled by a single decision.
type stepPacer struct {
	self          *actor.Ref
	lastStep      time.Time
	stepScheduled bool // a wake message for the next step is scheduled
	tickScheduled bool // a wake message for the regular tick is scheduled
}

// noteWake records that a scheduled wake message has arrived.
func (p *stepPacer) noteWake(w wake) {
	if w.deferredStep {
		p.stepScheduled = false
	} else {
		p.tickScheduled = false
	}
}

// scheduleTick schedules a tick of the actor, unless one is scheduled already.
func (p *stepPacer) scheduleTick(after time.Duration) {
	if p.tickScheduled {
		return
	}
	p.tickScheduled = true
	time.AfterFunc(after, func() { p.self.Tell(wake{}) })
}

// startStep reports whether a step may start now, and records its start. If the step may
// not start yet, startStep schedules a wake message for the time when it may.
func (p *stepPacer) startStep(now time.Time, interval time.Duration) bool {
	wait := p.lastStep.Add(interval).Sub(now)
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
