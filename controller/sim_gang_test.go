package controller

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"ravenport/wire"
)

// Time-outs of the tasks of simulated gangs, as in the settings of newWorld: how long a task
// waits for the others, and within what time the others notice that a task is gone.
const (
	simGangWait = 15 * time.Second
	simGangPeer = 4 * time.Second
)

// simGang is the state that the tasks of one attempt of a gang share.
type simGang struct {
	startedAt     time.Time // when all tasks were on their machines
	ended         bool
	done          bool
	checkpointed  bool
	failAt        time.Time // when the other tasks notice that a task is gone
	firstStop     time.Time
	stopRequested map[int]time.Time // when each task was requested to stop with a checkpoint
}

// gangTask is one task of an attempt on a machine.
type gangTask struct {
	m *simWorker
	t *simTask
	i int
}

func gangKey(t *simTask) string {
	job, _, _ := wire.ParseTaskName(t.name)
	return fmt.Sprintf("%s#%d", job, t.attempt)
}

// onMachine reports whether a task in this state counts as being on its machine.
func onMachine(state wire.TaskState) bool {
	return state == wire.TaskRunning || state == wire.TaskWaitingForGang || state == wire.TaskSaving
}

// simulateGangs coordinates the tasks of all gangs until the simulation ends.
func (w *world) simulateGangs() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.mu.Lock()
		groups := map[string][]gangTask{}
		for _, m := range w.machines {
			for _, t := range m.tasks {
				job, i, _ := wire.ParseTaskName(t.name)
				if j := w.jobs[job]; j != nil && j.spec.IsGang() {
					groups[gangKey(t)] = append(groups[gangKey(t)], gangTask{m, t, i})
				}
			}
		}
		var keys []string
		for key := range w.gangs {
			keys = append(keys, key)
		}
		for key := range groups {
			if w.gangs[key] == nil {
				w.gangs[key] = &simGang{stopRequested: map[int]time.Time{}}
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			w.simulateGang(w.gangs[key], groups[key])
		}
		w.mu.Unlock()
	}
}

// simulateGang advances one attempt to the current time. The caller holds the lock.
func (w *world) simulateGang(g *simGang, all []gangTask) {
	if len(all) == 0 {
		g.ended = g.ended || !g.startedAt.IsZero()
		return
	}
	now := time.Now()
	job, _, _ := wire.ParseTaskName(all[0].t.name)
	j := w.jobs[job]
	present := map[int]bool{} // tasks on a machine that still runs them
	for _, x := range all {
		if onMachine(x.t.state) && !x.m.hung && (w.ignoreWorkerLeases || time.Since(x.m.leaseRenewedAt) < 20*time.Second) {
			present[x.i] = true
		}
	}
	complete := len(present) == j.spec.Tasks
	if g.startedAt.IsZero() && !g.ended && complete {
		g.startedAt = now
		w.gangStarts++
		slog.Debug("sim: gang begins", "job", job, "attempt", all[0].t.attempt)
		for _, x := range all {
			x.m.changed = true
			if x.t.state == wire.TaskWaitingForGang {
				x.t.state = wire.TaskRunning
			}
		}
	}
	if !g.startedAt.IsZero() && !g.ended {
		w.advanceGang(g, j, now, complete)
	}
	g.exitTasks(all, now)
}

// advanceGang decides whether a running attempt continues, and how it ends. The caller holds
// the lock.
func (w *world) advanceGang(g *simGang, j *simJob, now time.Time, complete bool) {
	end := now
	if !g.firstStop.IsZero() {
		end = g.firstStop
	}
	progress := j.savedProgress + end.Sub(g.startedAt).Seconds()
	lastCheckpoint := max(j.savedProgress, math.Floor(progress/max(j.spec.CheckpointIntervalS, 0.1))*j.spec.CheckpointIntervalS)
	switch {
	case complete && !g.firstStop.IsZero() && len(g.stopRequested) == j.spec.Tasks:
		last := g.firstStop
		for _, at := range g.stopRequested {
			if at.After(last) {
				last = at
			}
		}
		if now.Sub(last).Seconds() >= j.spec.CheckpointSaveS {
			g.ended, g.checkpointed, j.savedProgress = true, true, progress
		}
	case !g.firstStop.IsZero():
		if now.Sub(g.firstStop) > simGangPeer || !complete {
			g.ended, j.savedProgress = true, lastCheckpoint
		}
	case !complete:
		if g.failAt.IsZero() {
			g.failAt = now.Add(time.Duration(w.rng.Int64N(int64(simGangPeer))))
		}
		if !now.Before(g.failAt) {
			g.ended, j.savedProgress = true, lastCheckpoint
		}
	case progress >= j.spec.EstimateS:
		g.ended, g.done = true, true
		for i := range j.spec.Tasks {
			j.doneTasks[i] = true
		}
	default:
		g.failAt = time.Time{}
	}
}

// exitTasks ends the tasks of an attempt that has ended, and tasks that waited longer than
// simGangWait for the others. The caller holds the lock.
func (g *simGang) exitTasks(all []gangTask, now time.Time) {
	for _, x := range all {
		if x.m.hung || x.t.state == wire.TaskExited || x.t.state == wire.TaskFetching {
			continue
		}
		_, stopped := g.stopRequested[x.i]
		switch {
		case x.t.state == wire.TaskWaitingForGang:
			if now.Sub(x.t.fetchedAt) > simGangWait {
				x.m.exit(x.t, wire.CauseGangIncomplete)
			}
		case !g.ended:
		case g.done:
			x.m.exit(x.t, wire.CauseDone)
		case stopped:
			x.m.exit(x.t, wire.CauseStopped)
			x.t.checkpointed = g.checkpointed
		default:
			x.m.exit(x.t, wire.CauseGangPeerLost)
		}
	}
}

func (m *simWorker) exit(t *simTask, cause wire.ExitCause) {
	t.state, t.cause, t.nextChange = wire.TaskExited, cause, time.Time{}
	m.changed = true
}

// stopGangTask carries out a stop command for a task of a gang. The caller holds the lock.
func (m *simWorker) stopGangTask(t *simTask, j *simJob, graceS float64) {
	_, i, _ := wire.ParseTaskName(t.name)
	g := m.world.gangs[gangKey(t)]
	if t.state == wire.TaskRunning && g != nil && !g.ended && j.spec.CheckpointIntervalS > 0 && graceS >= j.spec.CheckpointSaveS {
		if g.firstStop.IsZero() {
			g.firstStop = time.Now()
		}
		if _, requested := g.stopRequested[i]; !requested {
			g.stopRequested[i] = time.Now()
		}
		return
	}
	m.exit(t, wire.CauseStopped)
}
