package disruption

import (
	"math/rand/v2"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// These tests guard against raising a claim while another shard's claim is missing or cannot
// be decoded. Such a claim counted as 0 when a raise was computed. An owner that had requested
// a stop before the damage raised its claim within the wrong headroom, on the condition that
// the damaged record was unchanged. The claims of all shards then exceeded the budget (in the
// model: "a raise makes all claims 4, of 3 that may be").

// damageClaim replaces a shard's stored claim with a record that cannot be decoded. The
// model's own copy of the claim stays, since the owner may still act on it.
func (m *model) damageClaim(shard string) {
	key := records.KeyDisruptionClaim(shard)
	m.store(key, &records.DamagedRecord{Key: key})
}

// runEventsWithDamage is runEvents, but damages a claim after about 1 in 25 events. It
// returns the number of damaged claims.
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
	if damaged < runs || stops < runs/20 { // without damage there is a stop in every third run
		t.Errorf("only %d damaged claims and %d stops", damaged, stops)
	}
}

// A raise that was requested before another shard's claim was damaged is not written.
func TestNoRaiseWhileAClaimIsDamaged(t *testing.T) {
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
