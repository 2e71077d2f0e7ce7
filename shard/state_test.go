package shard

import (
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// Each unit of pending capacity is assigned once, spot before on-demand, and only to tasks
// that may use it.
func TestPendingCapacityIsTakenOnce(t *testing.T) {
	spotAllowed := &wire.Submission{CPUs: 2, Spot: true}
	onDemandOnly := &wire.Submission{CPUs: 2}
	c := scaleOutState{pendingCapacity: []pendingMachine{{free: resources{cpus: 4, messageBytes: constants.MaxTaskEntriesBytes}, typeName: "box"}, {free: resources{cpus: 5, messageBytes: constants.MaxTaskEntriesBytes}, typeName: "box", spot: true}}}
	for _, step := range []struct {
		what        *wire.Submission
		tasks, want int
	}{{spotAllowed, 1, 1}, {onDemandOnly, 3, 2}, {spotAllowed, 3, 1}, {spotAllowed, 1, 0}} {
		if got := c.takePendingCapacity(step.what, step.tasks); got != step.want {
			t.Errorf("%d of %d tasks take capacity, want %d (spot %v)", got, step.tasks, step.want, step.what.Spot)
		}
	}
}

// Missing heartbeats are counted from the machine's last heartbeat or from the last reset of
// liveness, whichever is later. The bounds of overdue and unreachable are multiples of the
// heartbeat period.
func TestLivenessReset(t *testing.T) {
	start := time.Unix(1000, 0)
	l := liveness{heartbeatPeriod: 3 * time.Second}
	m := &machine{lastHeartbeat: start}
	late := start.Add(l.periods(constants.UnreachablePeriods) + time.Millisecond)
	if !l.isUnreachable(late, m) || !l.isHeartbeatOverdue(late, m) || l.isUnreachable(late.Add(-time.Millisecond), m) {
		t.Error("want a machine to be unreachable after more than UnreachablePeriods without a heartbeat, and not before")
	}
	l.livenessResetAt = late
	if l.isUnreachable(late, m) || l.sinceHeartbeat(late.Add(time.Second), m) != time.Second {
		t.Error("time before the reset of liveness counts as time without a heartbeat")
	}
	m.lastHeartbeat = late.Add(2 * time.Second)
	if l.sinceHeartbeat(late.Add(3*time.Second), m) != time.Second {
		t.Error("a heartbeat after the reset of liveness does not count")
	}
}

// In a shard of one or two machines that are all unconfirmed, no machine counts as not
// receiving while the owner may be isolated.
func TestFewUnconfirmedMachinesAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	l := liveness{heartbeatPeriod: 3 * time.Second, leaseTimeout: 20 * time.Second, peersReportedAt: now}
	unconfirmed := &machine{unconfirmedSince: now.Add(-10 * time.Second)}
	longUnconfirmed := &machine{unconfirmedSince: now.Add(-21 * time.Second)}
	for _, c := range []struct {
		m             *machine
		up, confirmed int
		want          bool
	}{{unconfirmed, 1, 0, true}, {unconfirmed, 2, 1, true}, {unconfirmed, 2, 0, false}, {longUnconfirmed, 2, 0, true}, {longUnconfirmed, 3, 0, false}} {
		if got := l.isNotReceivingInSmallShard(now, c.m, c.up, c.confirmed); got != c.want {
			t.Errorf("of %d up, %d confirmed: not receiving %v, not %v", c.up, c.confirmed, got, c.want)
		}
	}
	if l.peersReportedAt = now.Add(-time.Hour); l.isNotReceivingInSmallShard(now, longUnconfirmed, 2, 1) {
		t.Error("a machine counts as not receiving although the other controllers have not reported")
	}
}

// Fencing tokens increase with the term, and within a term with each increment of the
// counter. An owner that has seen a later term, or has lost its authority, may not act.
func TestOwnershipEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	o := ownership{term: 5, counters: newTermCounters(5), cfg: Config{Shard: "a", LeaseExtension: 4 * time.Second}}
	o.SetAuthority(now.Add(time.Second))
	m := &machine{up: true}
	first := o.fencingToken(m)
	o.requestConfirmation(now, m)
	if !o.mayAct(now) || first>>constants.TokenCounterBits != 5 || o.fencingToken(m) != first+1 || !m.isUnconfirmed() {
		t.Errorf("an owner with authority: may act %v, tokens %d and %d", o.mayAct(now), first, o.fencingToken(m))
	}
	if o.mayAct(now.Add(time.Second)) || !o.mayExtendLeases(now.Add(2*time.Second)) || o.mayExtendLeases(now.Add(6*time.Second)) {
		t.Error("the authority of the owner, or the extension of leases, does not end in time")
	}
	o.observeToken(&wire.Heartbeat{FencingToken: first})
	if !o.mayAct(now) {
		t.Error("a token of its own term fences the owner")
	}
	if o.observeToken(&wire.Heartbeat{FencingToken: 6 << constants.TokenCounterBits}); o.mayAct(now) {
		t.Error("the owner may act although it has seen a later term")
	}
}

// A machine is queued once for a direct command, however often a command is requested.
// Machines are put on a page only while their entries fit.
func TestQueuesAndPagesAreBounded(t *testing.T) {
	var q outbox
	m := &machine{name: "m-1"}
	q.requestCommand(m)
	q.requestCommand(m)
	if len(q.commandQueue) != 1 {
		t.Errorf("the machine is queued %d times", len(q.commandQueue))
	}
	b := inventoryPages{pages: map[int]*page{}, maxPageBytes: 2*entryBytes("m-1") + 1}
	for _, name := range []string{"m-1", "m-2", "m-3"} {
		b.addToInventory(&machine{name: name, pageNumber: noPage})
	}
	if len(b.pages) != 2 {
		t.Errorf("three machines are on %d pages that hold two machines each, want 2 pages", len(b.pages))
	}
}

// Pages get smaller once the key-value store has refused a page as too large.
func TestRefusedPagesGetSmaller(t *testing.T) {
	r := newTestOwner(nil)
	r.bringUp("m-1")
	for _, p := range r.pages {
		p.inFlight = []records.Machine{{Name: "m-1"}}
	}
	before := r.maxPageBytes
	if r.CommitInvalid(CommitID{kind: commitInventory}); r.maxPageBytes >= before {
		t.Errorf("pages have %d bytes at most, and had %d before one was refused", r.maxPageBytes, before)
	}
}

// An attempt needs the resources of its job's specification. An attempt is not wanted while
// its task is not assigned to the shard, or while a stop of the attempt is requested.
func TestKnownStateOfAttempts(t *testing.T) {
	k := newKnownState()
	j := &job{record: &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", CPUs: 3, MemoryGB: 2, Image: "i"}}, tasks: map[int]*task{}}
	k.jobs["run-1"] = j
	m := k.ensureMachine("m-1")
	a := &attempt{key: attemptKey{"run-1/0", 7}, jobID: "run-1", machine: m}
	a.applySpec(j)
	k.addAttempt(a)
	if k.isWanted(a) {
		t.Error("an attempt of a task that is not assigned to the shard is wanted")
	}
	j.tasks[0] = &task{job: j, attempt: a}
	if !k.isWanted(a) || k.usageOf(m).used.cpus != 3 {
		t.Errorf("wanted %v, %v CPUs used", k.isWanted(a), k.usageOf(m).used.cpus)
	}
	if a.stopRequested = true; k.isWanted(a) {
		t.Error("an attempt whose stop is requested is wanted")
	}
}
