package disruption

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
	"ravenport/records"
	"ravenport/wire"
)

// picker draws a number from 0 to n-1.
type picker func(n int) int

// modelTask is one task of the service that the model's budget applies to.
type modelTask struct {
	shard             string // "": not assigned
	isRunning         bool
	runningSince      time.Time // last start, if isRunning
	isVoluntarilyDown bool      // stopped by a request, and not yet stable again
}

// modelStop is a stop command that has not reached its machine yet.
type modelStop struct {
	shard string
	term  uint64
	task  int
}

// modelWrite is a transaction whose result is outstanding.
type modelWrite struct {
	shard      string
	term       uint64
	changes    []wire.Change
	conditions []wire.Condition
}

// modelOwner is the owner of a shard in one term.
type modelOwner struct {
	shard       string
	term        uint64
	ledger      *Ledger
	changesRead int            // number of changes that the owner has read from the feed
	knownShards map[int]string // by task: its shard according to the changes read
	isRebuilt   bool
	stopping    map[int]bool
	inFlight    *modelWrite
}

// model is a deployment of three shards. Owners are replaced, read the feed with delay and
// lose replies of the key-value store. Meanwhile tasks fail, move between shards and are
// stopped by request.
type model struct {
	pick        picker
	now         time.Time
	stableAfter time.Duration
	budget      MaxUnavailable
	tasks       []modelTask
	owners      map[string]*modelOwner
	shards      []string

	log        []records.Change
	versions   map[string]uint64
	claims     map[string]*records.DisruptionClaim
	stops      []modelStop
	lateWrites []*modelWrite

	skipClaimCheck, availableAtStart bool // mutants: stops need no claim; tasks count as available as soon as they start
	violation                        string
	voluntaryStops                   int
	refusals                         map[Reason]int
}

const modelTeam = "team"

func newModel(pick picker) *model {
	m := &model{pick: pick, now: time.Unix(1000, 0), stableAfter: 10 * time.Second, budget: MaxUnavailable{Tasks: 1 + pick(3)}, shards: []string{"a", "b", "c"},
		owners: map[string]*modelOwner{}, versions: map[string]uint64{}, claims: map[string]*records.DisruptionClaim{}, refusals: map[Reason]int{}}
	if pick(3) == 0 {
		m.budget = MaxUnavailable{Percent: 25, IsPercent: true}
	}
	for i := range 6 + pick(10) {
		m.tasks = append(m.tasks, modelTask{shard: m.shards[i%3], isRunning: true, runningSince: m.now.Add(-time.Minute)})
	}
	m.storeJob()
	return m
}

// store puts a record into the key-value store.
func (m *model) store(key string, record records.Record) uint64 {
	version := uint64(len(m.log) + 1)
	m.versions[key] = version
	m.log = append(m.log, records.Change{Key: key, Version: version, Record: record})
	return version
}

// storeJob stores the job's record with the current assignments of its tasks.
func (m *model) storeJob() {
	j := &records.Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Team: modelTeam, Class: "c", Kind: wire.KindService, Tasks: len(m.tasks)}}
	for i, t := range m.tasks {
		if t.shard != "" {
			j.Assignments = append(j.Assignments, records.Assignment{From: i, To: i + 1, Shard: t.shard})
		}
	}
	m.store(records.KeyJob(j.ID), j)
}

// startOwner starts an owner of a shard under the next term.
func (m *model) startOwner(shard string) {
	term := uint64(1)
	if o := m.owners[shard]; o != nil {
		term = o.term + 1
	}
	m.store(records.KeyShard(shard), &records.Term{Shard: shard, Number: term})
	var budgets Budgets
	budgets.SetServicesDefault(m.budget)
	o := &modelOwner{shard: shard, term: term, knownShards: map[int]string{}, stopping: map[int]bool{},
		ledger: NewLedger(Config{Shard: shard, Shards: m.shards, Term: term, Budgets: budgets, StableAfter: m.stableAfter, SkipClaimCheck: m.skipClaimCheck})}
	m.owners[shard] = o
	m.deliver(o, len(m.log))
}

// deliver has an owner read the feed until it has read a number of changes.
func (m *model) deliver(o *modelOwner, to int) {
	for ; o.changesRead < to; o.changesRead++ {
		ch := m.log[o.changesRead]
		switch r := ch.Record.(type) {
		case *records.Job:
			o.ledger.ApplyJob(m.now, r)
			clear(o.knownShards)
			for _, a := range r.Assignments {
				o.knownShards[a.From] = a.Shard
			}
		case *records.DisruptionClaim:
			o.ledger.ApplyClaim(r, ch.Version)
		case *records.DamagedRecord:
			shard, _ := r.ClaimedShard()
			o.ledger.ApplyDamagedClaim(shard, ch.Version)
		case *records.Term:
			o.ledger.ApplyTerm(r)
		}
	}
}

// isStable reports whether the owner of a task counts the task as stable.
func (m *model) isStable(t *modelTask) bool {
	return t.isRunning && (m.availableAtStart || m.now.Sub(t.runningSince) >= m.stableAfter)
}

// step has an owner count its unavailable tasks, request stops and write its claim.
func (m *model) step(owner *modelOwner) {
	m.deliver(owner, owner.changesRead+m.pick(len(m.log)-owner.changesRead+1))
	unavailable := Counts{}
	keys := owner.ledger.BudgetsOf(&wire.Submission{Team: modelTeam, Class: "c", Kind: wire.KindService})
	var available []int
	for i := range m.tasks {
		t := &m.tasks[i]
		switch {
		case owner.knownShards[i] != owner.shard:
		case t.shard != owner.shard || owner.stopping[i] || !m.isStable(t):
			unavailable.Add(keys, 1)
		default:
			available = append(available, i)
		}
	}
	owner.ledger.Observe(m.now, unavailable, owner.isRebuilt)
	for range 1 + m.pick(3) {
		if len(available) == 0 {
			break
		}
		index := m.pick(len(available))
		i := available[index]
		if refusal := owner.ledger.RequestStop(m.now, keys); refusal != nil {
			m.refusals[refusal.Reason]++
			continue
		}
		available = slices.Delete(available, index, index+1)
		owner.stopping[i] = true
		m.stops = append(m.stops, modelStop{owner.shard, owner.term, i})
	}
	if owner.inFlight != nil {
		return
	}
	if changes, conditions := owner.ledger.PrepareWrite(m.now, true); changes != nil {
		owner.inFlight = &modelWrite{owner.shard, owner.term, changes, conditions}
	}
}

// applyStop applies a stop. Stops of earlier owners have no effect once the shard's current
// owner has rebuilt its state.
func (m *model) applyStop(s modelStop) {
	o := m.owners[s.shard]
	if o.term == s.term {
		delete(o.stopping, s.task)
	} else if o.isRebuilt {
		return
	}
	t := &m.tasks[s.task]
	if t.shard != s.shard || !t.isRunning {
		return
	}
	t.isRunning, t.isVoluntarilyDown = false, true
	m.voluntaryStops++
	m.checkBudget(fmt.Sprintf("task %d of %s was stopped", s.task, s.shard))
}

// checkBudget checks that the tasks that are down by request do not exceed the budget.
func (m *model) checkBudget(what string) {
	n := 0
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.isRunning && m.now.Sub(t.runningSince) >= m.stableAfter {
			t.isVoluntarilyDown = false
		}
		if t.isVoluntarilyDown {
			n++
		}
	}
	if limit := m.budget.For(len(m.tasks)); n > limit && m.violation == "" {
		m.violation = fmt.Sprintf("%s: %d are down by request, %s of %d may be", what, n, m.budget, len(m.tasks))
	}
}

// commit applies a write if its term is current and its conditions hold. It returns the
// version of the claim, or 0 if the write was refused.
func (m *model) commit(w *modelWrite) uint64 {
	if m.owners[w.shard].term != w.term {
		return 0
	}
	for _, c := range w.conditions {
		if m.versions[c.Key] != c.Version {
			return 0
		}
	}
	v, err := records.Decode(w.changes[0].Put, w.changes[0].Value)
	if err != nil {
		panic(err)
	}
	claim := v.(*records.DisruptionClaim)
	previous := m.claims[w.shard]
	m.claims[w.shard] = claim
	version := m.store(w.changes[0].Put, claim)
	if len(w.conditions) > 1 && (previous == nil || claim.Unavailable[modelTeam] > previous.Unavailable[modelTeam]) {
		m.checkClaims()
	}
	return version
}

// checkClaims checks, after a raise for stops was stored, that all claims together do not
// exceed the budget. A raise must count all failures that were published before it.
func (m *model) checkClaims() {
	n := 0
	for _, c := range m.claims {
		n += c.Unavailable[modelTeam]
	}
	if limit := m.budget.For(len(m.tasks)); n > limit && m.violation == "" {
		m.violation = fmt.Sprintf("a raise makes all claims %d, of %d that may be", n, limit)
	}
}

// resolveWrite draws the outcome of an owner's write.
func (m *model) resolveWrite(o *modelOwner) {
	w := o.inFlight
	o.inFlight = nil
	switch m.pick(8) {
	case 0: // reported as failed, and applied later or never
		m.lateWrites = append(m.lateWrites, w)
		o.ledger.ApplyWriteResult(m.now, 0)
	case 1: // applied, but the reply is lost
		m.commit(w)
		o.ledger.ApplyWriteResult(m.now, 0)
	case 2: // refused
		o.ledger.ApplyWriteResult(m.now, 0)
	default:
		o.ledger.ApplyWriteResult(m.now, m.commit(w))
	}
}

// randomEvent draws one event and applies it.
func (m *model) randomEvent() {
	owner := m.owners[m.shards[m.pick(3)]]
	task := &m.tasks[m.pick(len(m.tasks))]
	switch m.pick(16) {
	case 0, 1, 2, 3, 4, 5:
		m.step(owner)
	case 6, 7, 8:
		if owner.inFlight != nil {
			m.resolveWrite(owner)
		}
	case 9, 10: // a stop reaches its machine
		if n := len(m.stops); n > 0 {
			index := m.pick(n)
			s := m.stops[index]
			m.stops = slices.Delete(m.stops, index, index+1)
			m.applyStop(s)
		}
	case 11, 12: // a task restarts
		if !task.isRunning && task.shard != "" {
			task.isRunning, task.runningSince = true, m.now
		}
	case 13: // a task fails, or is unassigned or assigned to a shard
		if task.shard != "" && m.pick(3) > 0 {
			task.isRunning = false
			break
		}
		if !task.isRunning {
			if task.shard != "" {
				task.shard = ""
			} else {
				task.shard = m.shards[m.pick(3)]
			}
			m.storeJob()
		}
	case 14: // a new owner starts, or the owner finishes rebuilding its state
		if m.pick(3) == 0 {
			m.startOwner(owner.shard)
		} else {
			owner.isRebuilt = true
		}
	case 15:
		if n := len(m.lateWrites); n > 0 {
			w := m.lateWrites[n-1]
			m.lateWrites = m.lateWrites[:n-1]
			m.commit(w)
		}
	}
	m.now = m.now.Add(time.Duration(m.pick(600)) * time.Millisecond)
}

// runEvents starts the owners of all shards and applies up to the given number of events,
// until the first violation.
func (m *model) runEvents(events int) {
	for _, s := range m.shards {
		m.startOwner(s)
		m.owners[s].isRebuilt = true
	}
	for range events {
		if m.randomEvent(); m.violation != "" {
			return
		}
	}
}

// Under any sequence of failures, the tasks that are down by request do not exceed the
// budget, and no raise makes the claims exceed it.
func TestClaimsKeepWithinBudgets(t *testing.T) {
	stops, refusals := 0, map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		m.runEvents(400)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		stops += m.voluntaryStops
		for r, n := range m.refusals {
			refusals[r] += n
		}
	})
	t.Logf("%d stops, refused: %v", stops, refusals)
	if stops == 0 || refusals[ReasonExhausted] == 0 || refusals[ReasonClaimMissing] == 0 || refusals[ReasonClaimPending] == 0 {
		t.Error("the runs had no stops, or lacked refusals for one of the three reasons")
	}
}

// The model detects violations: it reports one if stops need no claim, and if tasks count as
// available as soon as they start.
func TestModelCatchesMutants(t *testing.T) {
	for name, mutate := range map[string]func(*model){
		"no claim":           func(m *model) { m.skipClaimCheck = true },
		"available at start": func(m *model) { m.availableAtStart = true },
	} {
		caught := ""
		for seed := uint64(0); seed < 300 && caught == ""; seed++ {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := newModel(rng.IntN)
			mutate(m)
			m.runEvents(400)
			caught = m.violation
		}
		if caught == "" {
			t.Errorf("%s: no violation in 300 runs", name)
		}
	}
}

// Percentages are rounded down, and String returns what was parsed.
func TestAmounts(t *testing.T) {
	for _, c := range []struct {
		text       string
		population int
		most       int
	}{{"3", 2, 3}, {"0", 9, 0}, {"10%", 9, 0}, {"10%", 10, 1}, {"29%", 100, 29}, {"99.9%", 1, 0}, {"99.9%", 400, 399}, {"100%", 7, 7}} {
		a, err := ParseMaxUnavailable(c.text)
		if err != nil || a.For(c.population) != c.most || a.String() != c.text {
			t.Errorf("%s of %d: %d, %q, %v", c.text, c.population, a.For(c.population), a, err)
		}
	}
	for _, text := range []string{"", "-1", "1.5", "101%", "-1%", "NaN%", "ten", "%"} {
		if _, err := ParseMaxUnavailable(text); err == nil {
			t.Errorf("%q is parsed as an amount", text)
		}
	}
}
