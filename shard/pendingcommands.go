package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// commandList is a list of commands that fits into one message to a machine.
type commandList struct {
	commands []wire.Command
	bytes    int
}

// hasRoomFor reports whether a command for an attempt fits into the message.
func (l *commandList) hasRoomFor(a *attempt) bool {
	return l.bytes+taskEntryBytes(len(a.key.task)) <= constants.MaxTaskEntriesBytes
}

// add adds a command for an attempt.
func (l *commandList) add(a *attempt, op wire.CommandOp, graceS *float64) {
	l.bytes += taskEntryBytes(len(a.key.task))
	l.commands = append(l.commands, wire.Command{Op: op, Task: a.key.task, Attempt: a.key.number, GraceS: graceS})
}

// pendingCommands returns the commands for a machine, first the stops, then the commands to
// forget attempts, then the starts, so that resources are free when a start needs them. Only
// the reply to a heartbeat contains commands to forget attempts. Commands that do not fit into
// one message remain pending.
func (v *fleetView) pendingCommands(now time.Time, m *machine, via exchangeKind) []wire.Command {
	list := commandList{commands: []wire.Command{}}
	m.commandWanted = false
	for _, a := range m.attempts {
		if !list.hasRoomFor(a) {
			m.commandWanted = true
			return list.commands
		}
		switch {
		case a.hasExited():
			if via == viaHeartbeat && v.canForget(a) {
				list.add(a, wire.OpForget, nil)
			}
		case !v.isWanted(a):
			v.addStop(&list, now, a)
		}
	}
	if m.hasSeenTerm(v.term) {
		v.addStarts(&list, now, m, via)
	}
	return list.commands
}

// addStarts adds the starts of a machine's wanted attempts that no heartbeat or reply has
// listed yet.
func (v *fleetView) addStarts(list *commandList, now time.Time, m *machine, via exchangeKind) {
	for _, a := range m.attempts {
		if a.state != stateSent || !v.isWanted(a) {
			continue
		}
		if !list.hasRoomFor(a) {
			m.commandWanted = true
			return
		}
		if via == viaHeartbeat {
			a.startSentSeq = m.seq
		} else {
			a.sentDirectly = true
			a.maxDirectToken = max(a.maxDirectToken, v.fencingToken(m))
		}
		a.startSentAt = now
		list.add(a, wire.OpStart, nil)
	}
}

// addStop adds the next stop of an unwanted attempt, if one is due.
func (v *fleetView) addStop(list *commandList, now time.Time, a *attempt) {
	if graceS, send := v.nextStop(now, a); send {
		list.add(a, wire.OpStop, &graceS)
	}
}

// cancellationStops returns the stops of attempts whose job is cancelled, as many as fit into
// one message. They are the only commands that an owner without authority may give
// (docs/safety.md, point 13). Every probe carries them too, because a delayed probe may be the
// only message that reaches the machine.
func (v *fleetView) cancellationStops(now time.Time, m *machine) []wire.Command {
	list := commandList{commands: []wire.Command{}}
	for _, a := range m.attempts {
		if a.hasExited() || !v.isCancelled(a) {
			continue
		}
		if !list.hasRoomFor(a) {
			break
		}
		v.addStop(&list, now, a)
	}
	return list.commands
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
