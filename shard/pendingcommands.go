package shard

import (
	"time"

	"ravenport/wire"
)

// pendingCommands lists what a machine should do: stops, then forgets, then starts, so
// that resources are free when a start needs them. Attempts are forgotten only by the reply to
// a heartbeat.
func (v *fleetView) pendingCommands(now time.Time, m *machine, via exchangeKind) []wire.Command {
	out := []wire.Command{}
	var starts []wire.Command
	for _, a := range m.attempts {
		switch {
		case a.hasExited():
			if via == viaHeartbeat && v.canForget(a) {
				out = append(out, wire.Command{Op: wire.OpForget, Task: a.key.task, Attempt: a.key.number})
			}
		case !v.isWanted(a):
			if graceS, send := v.nextStop(now, a); send {
				out = append(out, stopCommand(a, graceS))
			}
		case a.state == stateSent && m.hasSeenTerm(v.term):
			if via == viaHeartbeat {
				a.startSentSeq = m.seq
			} else {
				a.sentDirectly = true
				a.maxDirectToken = max(a.maxDirectToken, v.fencingToken(m))
			}
			a.startSentAt = now
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: a.key.task, Attempt: a.key.number})
		}
	}
	m.commandWanted = false
	return append(out, starts...)
}

// cancellationStops lists the stops of attempts whose job is cancelled. They are the only
// commands that an owner without authority may give (docs/safety.md, point 13), and those
// that every probe carries: one that is held up may be all that reaches the machine.
func (v *fleetView) cancellationStops(now time.Time, m *machine) []wire.Command {
	out := []wire.Command{}
	for _, a := range m.attempts {
		if a.hasExited() || !v.isCancelled(a) {
			continue
		}
		if graceS, send := v.nextStop(now, a); send {
			out = append(out, stopCommand(a, graceS))
		}
	}
	return out
}

// isCancelled reports whether an attempt is of a job that is known to be cancelled.
func (k *knownState) isCancelled(a *attempt) bool {
	j := k.jobs[a.jobID]
	return j != nil && j.rec.End == wire.JobCancelled
}

// nextStop returns the grace period (s) of the next stop command for an unwanted attempt, or
// send false if none is due. A task that saves its checkpoint is left to finish until its time
// is up. A gang's tasks save together, and show it only by their exits: until their time is up
// the same command is repeated, should they have missed it.
func (v *fleetView) nextStop(now time.Time, a *attempt) (graceS float64, send bool) {
	together := v.gangSaveTime(a)
	inTime := now.Sub(a.stopSentAt) < v.stopGrace(a)+together
	if a.state == wire.TaskSaving && inTime {
		return 0, false
	}
	switch {
	case a.stopSentAt.IsZero():
		a.stopSentAt = now
		return v.stopGrace(a).Seconds(), true
	case together > 0 && inTime:
		return v.stopGrace(a).Seconds(), true
	}
	return 0, true
}

func stopCommand(a *attempt, graceS float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: a.key.task, Attempt: a.key.number, GraceS: &graceS}
}

// stopGrace is the time that a stopped attempt gets to save its checkpoint: none if it cannot
// save one, or if none will be used.
func (k *knownState) stopGrace(a *attempt) time.Duration {
	t := k.taskOf(a)
	if a.stopsInstantly || t == nil || t.job.rec.End != "" {
		return 0
	}
	return time.Duration((t.job.rec.Spec.CheckpointSaveS + 0.5) * float64(time.Second))
}

// gangSaveTime is how much longer an attempt takes to save because a gang's tasks
// wait for each other.
func (v *fleetView) gangSaveTime(a *attempt) time.Duration {
	if j := v.jobs[a.jobID]; j == nil || j.gang == nil || a.stopsInstantly || j.rec.End != "" {
		return 0
	}
	return v.cfg.GangPeerTimeout
}

// canForget reports whether a machine may forget an exited attempt. An attempt that a direct
// command started must be kept while a late copy of that command could arrive: it would start
// again. A done task must be kept until its assignment is closed, or a new owner would run it
// again.
func (k *knownState) canForget(a *attempt) bool {
	if a.sentDirectly && a.maxDirectToken >= a.machine.reportedToken {
		return false
	}
	if a.cause != wire.CauseDone {
		return true
	}
	t := k.taskOf(a)
	return t == nil || t.job.rec.Spec.IsService()
}
