package disruption

import (
	"math/rand/v2"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// A claim that cannot be read counted as 0 where a raise is computed: an owner that had asked
// for a stop before the damage raised its claim "within the headroom", on the condition that
// the damaged claim is still there, and the claims of all shards together passed the budget
// ("a raise makes all claims 4, of 3 that may be", in the model). Nobody may raise a claim
// while one is missing or damaged.

// damageClaim replaces a shard's stored claim with one that cannot be read. What its owner
// may have granted stays.
func (m *model) damageClaim(shard string) {
	key := records.KeyDisruptionClaim(shard)
	m.store(key, &records.DamagedRecord{Key: key})
}

// runEventsWithDamage is play, in which claims are damaged now and then. It returns how often.
func (m *model) runEventsWithDamage(events int) (damaged int) {
	for _, s := range m.shards {
		m.startOwner(s)
		m.owners[s].isRebuilt = true
	}
	for range events {
		if m.randomEvent(); m.violation != "" {
			return damaged
		}
		if m.pick(25) == 0 {
			m.damageClaim(m.shards[m.pick(3)])
			damaged++
		}
	}
	return damaged
}

func TestDamagedClaimsKeepWithinBudgets(t *testing.T) {
	const runs = 400
	damaged, stops := 0, 0
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 5))
		m := newModel(rng.IntN)
		damaged += m.runEventsWithDamage(400)
		stops += m.voluntaryStops
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
	}
	if damaged < runs || stops < runs/20 { // without damage there is a stop on every third day
		t.Errorf("only %d damaged claims and %d stops", damaged, stops)
	}
}

// The raise that was asked for before another shard's claim was damaged is not written.
func TestNoRaiseBesideADamagedClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	var budgets Budgets
	budgets.SetServicesDefault(MaxUnavailable{Tasks: 1})
	ledger := NewLedger(Config{Shard: "a", Shards: []string{"a", "b"}, Term: 1, Budgets: budgets, StableAfter: time.Second})
	spec := wire.Submission{ID: "run-1", Team: modelTeam, Class: "c", Kind: wire.KindService, Tasks: 4}
	ledger.ApplyJob(now, &records.Job{ID: "run-1", Spec: spec, Assignments: []records.Assignment{{From: 0, To: 2, Shard: "a"}, {From: 2, To: 4, Shard: "b"}}})
	ledger.ApplyTerm(&records.Term{Shard: "b", Number: 1})
	ledger.ApplyClaim(&records.DisruptionClaim{Shard: "b", Term: 1}, 5)
	ledger.Observe(now, Counts{}, true)
	now = now.Add(time.Minute)
	if refusal := ledger.RequestStop(now, ledger.BudgetsOf(&spec)); refusal == nil || refusal.Reason != ReasonClaimPending {
		t.Fatalf("refused as %v", refusal)
	}
	ledger.ApplyClaim(&records.DisruptionClaim{Shard: "b", Term: 1, Unavailable: map[string]int{modelTeam: 1}}, 6)
	ledger.ApplyDamagedClaim("b", 7)
	changes, _ := ledger.PrepareWrite(now, true)
	for _, change := range changes {
		record, err := records.Decode(change.Put, change.Value)
		if err != nil {
			t.Fatal(err)
		}
		if n := record.(*records.DisruptionClaim).Unavailable[modelTeam]; n > 0 {
			t.Errorf("a claim of %d is written while another shard's claim cannot be read", n)
		}
	}
}
