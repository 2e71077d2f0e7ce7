package shard

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// Pending capacity is taken once, spot before on-demand, and only by tasks that may use it.
func TestPendingCapacityIsTakenOnce(t *testing.T) {
	anywhere := &wire.Submission{CPUs: 2, Spot: true}
	ordinary := &wire.Submission{CPUs: 2}
	c := scaleOutState{pendingCapacity: []pendingMachine{{free: resources{cpus: 4}, typeName: "box"}, {free: resources{cpus: 5}, typeName: "box", spot: true}}}
	for _, step := range []struct {
		what        *wire.Submission
		tasks, want int
	}{{anywhere, 1, 1}, {ordinary, 3, 2}, {anywhere, 3, 1}, {anywhere, 1, 0}} {
		if got := c.takePendingCapacity(step.what, step.tasks); got != step.want {
			t.Errorf("%d of %d tasks take capacity, %d should (spot %v)", got, step.tasks, step.want, step.what.Spot)
		}
	}
}

// Missing heartbeats are counted from the machine's last one, or from the last reset of
// liveness; overdue and unreachable are a number of heartbeat periods.
func TestLivenessReset(t *testing.T) {
	start := time.Unix(1000, 0)
	l := liveness{heartbeatPeriod: 3 * time.Second}
	m := &machine{lastHeartbeat: start}
	late := start.Add(l.periods(constants.UnreachablePeriods) + time.Millisecond)
	if !l.isUnreachable(late, m) || !l.isHeartbeatOverdue(late, m) || l.isUnreachable(late.Add(-time.Millisecond), m) {
		t.Error("the bound of an unreachable machine is not where it should be")
	}
	l.livenessResetAt = late
	if l.isUnreachable(late, m) || l.sinceHeartbeat(late.Add(time.Second), m) != time.Second {
		t.Error("time in which no heartbeat could be received counts")
	}
	m.lastHeartbeat = late.Add(2 * time.Second)
	if l.sinceHeartbeat(late.Add(3*time.Second), m) != time.Second {
		t.Error("a heartbeat since then does not count")
	}
}

// Of one or two machines that all are unconfirmed none counts as not receiving while the owner
// may be the one that is isolated.
func TestFewUnconfirmedMachinesAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	l := liveness{heartbeatPeriod: 3 * time.Second, leaseTimeout: 20 * time.Second, peersHeardAt: now}
	doubted := &machine{unconfirmedSince: now.Add(-10 * time.Second)}
	forLong := &machine{unconfirmedSince: now.Add(-21 * time.Second)}
	for _, c := range []struct {
		m         *machine
		up, heard int
		want      bool
	}{{doubted, 1, 0, true}, {doubted, 2, 1, true}, {doubted, 2, 0, false}, {forLong, 2, 0, true}, {forLong, 3, 0, false}} {
		if got := l.isNotReceivingInSmallShard(now, c.m, c.up, c.heard); got != c.want {
			t.Errorf("of %d up, %d confirmed: not receiving %v, not %v", c.up, c.heard, got, c.want)
		}
	}
	if l.peersHeardAt = now.Add(-time.Hour); l.isNotReceivingInSmallShard(now, forLong, 2, 1) {
		t.Error("not receiving though the other controllers were not heard from")
	}
}

// Tokens rise with the term, and within it with each count; an owner that saw a later term, or
// has lost its authority, may not act.
func TestOwnershipEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	o := ownership{term: 5, counters: newTermCounters(5), cfg: Config{Shard: "a", LeaseExtension: 4 * time.Second}}
	o.SetAuthority(now.Add(time.Second))
	m := &machine{up: true}
	first := o.fencingToken(m)
	o.requestConfirmation(now, m)
	if !o.mayAct(now) || first>>constants.TokenCounterBits != 5 || o.fencingToken(m) != first+1 || !m.isUnconfirmed() {
		t.Errorf("an owner in its term: may act %v, tokens %d and %d", o.mayAct(now), first, o.fencingToken(m))
	}
	if o.mayAct(now.Add(time.Second)) || !o.mayExtendLeases(now.Add(2*time.Second)) || o.mayExtendLeases(now.Add(6*time.Second)) {
		t.Error("its authority, or the extension of leases, does not end in time")
	}
	o.observeToken(&wire.Heartbeat{FencingToken: first})
	if !o.mayAct(now) {
		t.Error("its own token ends it")
	}
	if o.observeToken(&wire.Heartbeat{FencingToken: 6 << constants.TokenCounterBits}); o.mayAct(now) {
		t.Error("it goes on after a later term was seen")
	}
}

// A machine waits once for a direct command, however often it is asked for; machines are
// put on pages only as long as their entries fit.
func TestQueuesAndPagesAreBounded(t *testing.T) {
	var q outbox
	m := &machine{name: "m-1"}
	q.requestCommand(m)
	q.requestCommand(m)
	if len(q.commandQueue) != 1 {
		t.Errorf("it waits %d times", len(q.commandQueue))
	}
	b := inventoryPages{pages: map[int]*page{}, maxPageBytes: 2*entryBytes("m-1") + 1}
	for _, name := range []string{"m-1", "m-2", "m-3"} {
		b.enroll(&machine{name: name, pageNumber: noPage})
	}
	if len(b.pages) != 2 {
		t.Errorf("three machines are on %d pages, of which each holds two", len(b.pages))
	}
}

// Pages get smaller once the state service has found one too large.
func TestRefusedPagesGetSmaller(t *testing.T) {
	r := newRig(nil)
	r.bringUp("m-1")
	for _, p := range r.pages {
		p.inFlight = []records.Machine{{Name: "m-1"}}
	}
	before := r.maxPageBytes
	if r.CommitInvalid(CommitID{kind: commitInventory}); r.maxPageBytes >= before {
		t.Errorf("%d bytes a page, %d before it was refused", r.maxPageBytes, before)
	}
}

// An attempt's needs are its job's, and an attempt of another job's task is not wanted.
func TestKnownStateOfAttempts(t *testing.T) {
	k := newKnownState()
	j := &job{rec: &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", CPUs: 3, MemoryGB: 2, Image: "i"}}, tasks: map[int]*task{}}
	k.jobs["run-1"] = j
	m := k.ensureMachine("m-1")
	a := &attempt{key: attemptKey{"run-1/0", 7}, jobID: "run-1", machine: m}
	a.applySpec(j)
	k.addAttempt(a)
	if k.isWanted(a) {
		t.Error("an attempt is wanted of a task that is not here")
	}
	j.tasks[0] = &task{job: j, attempt: a}
	if !k.isWanted(a) || k.usageOf(m).used.cpus != 3 {
		t.Errorf("wanted %v, %v CPUs held", k.isWanted(a), k.usageOf(m).used.cpus)
	}
	if a.stopRequested = true; k.isWanted(a) {
		t.Error("an attempt is wanted that is to be stopped")
	}
}
