package shard

import (
	"time"

	"ravenport/wire"
)

// pendingCommands lists what a machine should do: stops, then forgets, then starts, so
// that room is free when a start needs it.
func (v *fleetView) pendingCommands(now time.Time, m *machine, beat bool) []wire.Command {
	out := []wire.Command{}
	var starts []wire.Command
	for _, a := range m.attempts {
		switch {
		case a.hasExited():
			if beat && v.canForget(a) {
				out = append(out, wire.Command{Op: wire.OpForget, Task: a.key.task, Attempt: a.key.number})
			}
		case !v.isWanted(a):
			// A saving task is left to finish unless its time is up.
			// A gang's tasks save together, and show it only by their exits: until
			// their time is up they are told the same again, should they have missed it.
			together := v.gangSaveTime(a)
			if a.state == wire.TaskSaving && now.Sub(a.stopSentAt) < v.stopGrace(a)+together {
				continue
			}
			g := 0.0
			if a.stopSentAt.IsZero() {
				a.stopSentAt = now
				g = v.stopGrace(a).Seconds()
			} else if together > 0 && now.Sub(a.stopSentAt) < v.stopGrace(a)+together {
				g = v.stopGrace(a).Seconds()
			}
			out = append(out, wire.Command{Op: wire.OpStop, Task: a.key.task, Attempt: a.key.number, GraceS: &g})
		case a.state == stateSent && m.hasSeenTerm(v.term):
			if beat {
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

// stopGrace is the time a stopped attempt gets to save: its saving time, if it
// can save and something may come of it.
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

// canForget says whether an exited attempt may be forgotten by its machine.
// An attempt started by a direct command must be kept while that command
// could arrive once more, late: forgotten, it would start again. A done task
// must be kept until its assignment is closed, or a new owner would run it again.
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
