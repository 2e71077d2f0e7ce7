package shard

import (
	"time"

	"ravenport/wire"
)

// pendingCommands returns the commands for a machine, first the stops, then the commands to
// forget attempts, then the starts, so that resources are free when a start needs them. Only
// the reply to a heartbeat contains commands to forget attempts.
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

// cancellationStops returns the stops of attempts whose job is cancelled. They are the only
// commands that an owner without authority may give (docs/safety.md, point 13). Every probe
// carries them too, because a delayed probe may be the only message that reaches the machine.
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

// isCancelled reports whether the job of an attempt is known to be cancelled.
func (k *knownState) isCancelled(a *attempt) bool {
	j := k.jobs[a.jobID]
	return j != nil && j.record.End == wire.JobCancelled
}

// nextStop returns the grace period in seconds of the next stop command for an unwanted
// attempt; send is false if no stop is due. A task that saves its checkpoint is not stopped
// again until its time to save is over. The tasks of a gang save together, and the owner sees
// that only when they exit. The owner therefore repeats the first command until their time is
// over, in case a worker did not receive it.
func (v *fleetView) nextStop(now time.Time, a *attempt) (graceS float64, send bool) {
	gangTime := v.gangSaveTime(a)
	withinSaveTime := now.Sub(a.stopSentAt) < v.stopGrace(a)+gangTime
	if a.state == wire.TaskSaving && withinSaveTime {
		return 0, false
	}
	switch {
	case a.stopSentAt.IsZero():
		a.stopSentAt = now
		return v.stopGrace(a).Seconds(), true
	case gangTime > 0 && withinSaveTime:
		return v.stopGrace(a).Seconds(), true
	}
	return 0, true
}

func stopCommand(a *attempt, graceS float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: a.key.task, Attempt: a.key.number, GraceS: &graceS}
}

// stopGrace returns the time that a stopped attempt gets to save its checkpoint: none if the
// attempt cannot save one, or if the checkpoint would not be used.
func (k *knownState) stopGrace(a *attempt) time.Duration {
	t := k.taskOf(a)
	if a.stopsInstantly || t == nil || t.job.record.End != "" {
		return 0
	}
	return time.Duration((t.job.record.Spec.CheckpointSaveS + 0.5) * float64(time.Second))
}

// gangSaveTime returns the additional time that an attempt needs to save its checkpoint
// because the tasks of a gang wait for each other.
func (v *fleetView) gangSaveTime(a *attempt) time.Duration {
	if j := v.jobs[a.jobID]; j == nil || j.gang == nil || a.stopsInstantly || j.record.End != "" {
		return 0
	}
	return v.cfg.GangPeerTimeout
}

// canForget reports whether a machine may forget an exited attempt. An attempt that a direct
// command started must be kept as long as a late copy of that command may arrive, because the
// copy would start the attempt again. A done task must be kept until its assignment is
// closed, because a new owner would otherwise run the task again.
func (k *knownState) canForget(a *attempt) bool {
	if a.sentDirectly && a.maxDirectToken >= a.machine.reportedToken {
		return false
	}
	if a.cause != wire.CauseDone {
		return true
	}
	t := k.taskOf(a)
	return t == nil || t.job.record.Spec.IsService()
}
