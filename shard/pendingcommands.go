package shard

import (
	"time"

	"ravenport/wire"
)

// orders lists what a machine should do: stops, then forgets, then starts, so
// that room is free when a start needs it.
func (v *fleetView) orders(now time.Time, m *machine, beat bool) []wire.Command {
	out := []wire.Command{}
	var starts []wire.Command
	for _, h := range m.holds {
		switch {
		case h.exited():
			if beat && v.forgettable(h) {
				out = append(out, wire.Command{Op: wire.OpForget, Task: h.key.task, Attempt: h.key.attempt})
			}
		case !v.wanted(h):
			// A saving task is left to finish unless its time is up.
			// A gang's tasks save together, and show it only by their exits: until
			// their time is up they are told the same again, should they have missed it.
			together := v.together(h)
			if h.state == wire.TaskSaving && now.Sub(h.told) < v.grace(h)+together {
				continue
			}
			g := 0.0
			if h.told.IsZero() {
				h.told = now
				g = v.grace(h).Seconds()
			} else if together > 0 && now.Sub(h.told) < v.grace(h)+together {
				g = v.grace(h).Seconds()
			}
			out = append(out, wire.Command{Op: wire.OpStop, Task: h.key.task, Attempt: h.key.attempt, GraceS: &g})
		case h.state == stateSent && m.verified(v.term):
			if beat {
				h.sentSeq = m.seq
			} else {
				h.direct = true
				h.directed = max(h.directed, v.token(m))
			}
			h.sentAt = now
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: h.key.task, Attempt: h.key.attempt})
		}
	}
	m.wantCommand = false
	return append(out, starts...)
}

// grace is the time a stopped attempt gets to save: its saving time, if it
// can save and something may come of it.
func (k *knowledge) grace(h *hold) time.Duration {
	t := k.taskOf(h)
	if h.instant || t == nil || t.job.rec.End != "" {
		return 0
	}
	return time.Duration((t.job.rec.Spec.SaveS + 0.5) * float64(time.Second))
}

// together is how much longer an attempt takes to save because a gang's tasks
// wait for each other.
func (v *fleetView) together(h *hold) time.Duration {
	if j := v.jobs[h.jobID]; j == nil || j.gang == nil || h.instant || j.rec.End != "" {
		return 0
	}
	return v.cfg.GangPeer
}

// forgettable says whether an exited attempt may be forgotten by its machine.
// An attempt started by a direct command must be kept while that command
// could arrive once more, late: forgotten, it would start again. A done task
// must be kept until its assignment is closed, or a new owner would run it again.
func (k *knowledge) forgettable(h *hold) bool {
	if h.direct && h.directed >= h.m.token {
		return false
	}
	if h.cause != wire.CauseDone {
		return true
	}
	t := k.taskOf(h)
	return t == nil || t.job.rec.Spec.IsService()
}
