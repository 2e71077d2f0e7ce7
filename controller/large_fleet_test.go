package controller

import (
	"flag"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// largeFleetMachines is the fleet size that every limit must allow.
const largeFleetMachines = 4000

// lossyFleetMachines is the fleet size of TestLossyFleet, and lostAnswerFraction is the share of the
// machines' responses that is lost.
var (
	lossyFleetMachines = flag.Int("lossy.machines", 600, "number of machines of the fleet whose responses are lost at random")
	lostAnswerFraction = flag.Float64("lossy.share", 0.45, "share of their responses that is lost")
)

// With random loss of responses, a machine sometimes answers none of the commands of a scale-in,
// or receives nothing for the duration of its lease. Only tasks on such machines are restarted.
func TestLossyFleet(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := runLargeFleet(t, "", *lossyFleetMachines, *lostAnswerFraction)
		ended, endedUnresponsive, endedByLease := w.eventCount("tasks ended by a scale-in"), w.eventCount("tasks ended by the scale-in of an unresponsive machine"), w.eventCount("tasks ended by a lease")
		w.logLiveTerminations(t)
		t.Logf("%d restarts; %d tasks ended by scale-ins, %d of them on machines that answered nothing, %d by a lease", w.restarts, ended, endedUnresponsive, endedByLease)
		if ended != endedUnresponsive {
			t.Errorf("%d tasks were ended by the scale-in of a machine that had answered", ended-endedUnresponsive)
		}
		if w.restarts > endedUnresponsive+endedByLease {
			t.Errorf("%d tasks were restarted, but only %d were on machines that were lost", w.restarts, endedUnresponsive+endedByLease)
		}
		if endedUnresponsive+endedByLease == 0 {
			t.Error("no machine was lost: the test proves nothing")
		}
	})
}

// A deployment of 4,000 machines, all in one shard or half in each of two, starts, loses an
// owner, and survives an outage that is longer than the workers' lease: every machine is used,
// no running task stops, and new jobs run.
func TestLargeFleet(t *testing.T) {
	discardLogs(t)
	for name, zone := range map[string]string{"in one shard": "a", "in two shards": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLargeFleet(t, zone, largeFleetMachines, 0) })
		})
	}
}

// runLargeFleet runs a fleet of a number of machines. Without loss no task may be restarted.
func runLargeFleet(t *testing.T, zone string, machines int, loss float64) *world {
	w := newWorldWithTimes(1, []string{"a", "b"}, 3, lease36Times)
	w.lateCommandShare, w.reliableCloud, w.lostAnswerShare, w.lateWriteShare, w.repeatedWriteShare, w.lateCopyShare = 0, true, 0, 0, 0, 0
	w.record.disabled = true
	w.reasons = watchTerminationReasons(t)
	w.workerInterval = 500 * time.Millisecond
	w.answerLossShare, w.noAnswerLoss = loss, loss == 0
	for k := range w.capacity {
		w.capacity[k] = machines
	}
	for _, n := range w.controllers {
		n.enableDetection()
		n.set.Deployment.Limits.CPU = 0
		n.start()
	}
	go w.expireLeases()
	defer w.shutdown()
	time.Sleep(5 * time.Second)
	// Each task fills a machine.
	j := &simJob{spec: wire.Submission{ID: "run-000001", Class: "c", Team: "free", Kind: wire.KindService, Priority: wire.PriorityProduction,
		Tasks: machines, CPUs: 8, MemoryGB: 1, Image: "i", ImageGB: 1, Zone: zone, Spread: zone == ""}, doneTasks: map[int]bool{}}
	w.locked(func() { w.jobs[j.spec.ID] = j })
	go w.runUser(j, 0, 0)
	start := time.Now()
	running := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.runningTasks(j.spec.ID) == machines
	}
	w.waitUntil(t, "all machines are up and used", 10*time.Minute, running)
	t.Logf("%d tasks run on %d machines after %s", machines, len(w.machines), time.Since(start))
	starts := w.starts
	before := maps.Clone(w.observed)

	owner, term := w.owner("a"), w.term("a")
	w.controllers[owner].restart(5 * time.Second)
	w.waitUntil(t, "another owner", takeoverBound, func() bool { return w.term("a") > term })
	time.Sleep(30 * time.Second)
	w.setOutage(true)
	time.Sleep(w.times.lease() + 20*time.Second)
	w.setOutage(false)
	time.Sleep(30 * time.Second)
	w.locked(func() {
		w.restarts = w.starts - starts
		for what := range w.observed {
			w.observed[what] -= before[what]
		}
	})
	if loss == 0 && (!running() || w.restarts != 0) {
		t.Errorf("%d of %d tasks run, after %d starts more", w.runningTasks(j.spec.ID), machines, w.restarts)
	}
	later := w.newArray("run-000002", 50, 8, 5)
	start = time.Now()
	go w.runUser(later, 0, 0)
	w.waitAllDone(t, 3*time.Minute, []*simJob{later})
	t.Logf("50 tasks more were done within %s; records take %d keys", time.Since(start), w.keysUnder(records.KeyPrefix))
	if len(w.violations) > 0 {
		t.Errorf("rules broken: %s", strings.Join(w.violations[:min(4, len(w.violations))], "; "))
	}
	return w
}

// keysUnder counts the key-value store's keys that begin with a prefix.
func (w *world) keysUnder(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for key := range w.kv {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
