package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	"ravenport/internal/testclock"
	"ravenport/records"
)

// newSimWithDetection returns a simulation of three controllers that are up and have
// failure detection. n-1 owns the shard of zone b; n-2 owns the shard of zone a and
// leads.
func newSimWithDetection(now time.Time, leaseTTL time.Duration) *storeSim {
	sim := &storeSim{keys: map[string]records.Change{}, incarnations: []uint64{1, 2, 3}}
	for _, k := range testControllers {
		c := New(k.Name, testControllers, []string{"a", "b"}, now.Add(-time.Minute))
		c.EnableDetection()
		sim.cores = append(sim.cores, c)
	}
	for i, k := range testControllers {
		sim.apply(now, records.KeyController(k.Name), &records.Controller{Name: k.Name, Incarnation: uint64(i + 1), LeaseTTLMS: leaseTTL.Milliseconds()})
	}
	sim.apply(now, records.KeyShard("a"), &records.Term{Shard: "a", Controller: "n-2", Incarnation: 3, Number: 4})
	sim.apply(now, records.KeyShard("b"), &records.Term{Shard: "b", Controller: "n-1", Incarnation: 2, Number: 4})
	sim.apply(now, records.KeyLeader, &records.Term{Controller: "n-2", Incarnation: 3, Number: 4})
	return sim
}

// revoke commits a revocation that a core decides on; each core sees it after its lag.
func (s *storeSim) revoke(now time.Time, by int, revocation records.Revocation, lag []time.Duration) bool {
	txn, ok := s.cores[by].Revoke(revocation)
	if !ok {
		return false
	}
	for _, c := range txn.Conditions {
		if s.keys[c.Key].Version != c.Version {
			return false
		}
	}
	record, err := records.Decode(txn.Changes[0].Put, txn.Changes[0].Value)
	if err != nil {
		panic(err)
	}
	s.version++
	change := records.Change{Key: txn.Changes[0].Put, Version: s.version, Record: record}
	s.keys[change.Key] = change
	for i, c := range s.cores {
		c.Apply(now.Add(lag[i]), change)
	}
	return true
}

// No controller takes a revoked holder's term before the holder's authority has ended,
// however late the holder learns of the revocation, whatever its clock does within its
// bound and whenever it reads the revision. Another controller takes the term within a
// bounded time.
func TestRevokedTermIsTakenAfterAuthorityEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaseTTL := time.Duration(rapid.IntRange(2000, 10000).Draw(t, "life ms")) * time.Millisecond
		now := time.Unix(1000, 0)
		sim := newSimWithDetection(now, leaseTTL)
		lag := make([]time.Duration, 3)
		for i := range lag {
			lag[i] = time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag ms")) * time.Millisecond
		}
		if !sim.revoke(now, 0, records.Revocation{Controller: "n-1", Incarnation: 2}, lag) {
			t.Fatal("not revoked")
		}
		// The holder's last read of the revision that did not show the revocation was
		// sent before the revocation was written. The holder's clock may be slow by the
		// protocol's bound.
		drift := float64(rapid.IntRange(-5, 5).Draw(t, "drift")) / 10000
		lastRead := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "last read ms")) * time.Millisecond)
		authority := time.Duration(float64(leaseTTL)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
		authorityEnd := lastRead.Add(time.Duration(float64(authority) / (1 + drift)))
		key, taken := records.KeyShard("b"), time.Duration(0)
		for at := time.Duration(0); at < leaseTTL+6*time.Second && taken == 0; at += 50 * time.Millisecond {
			for _, i := range []int{0, 2} {
				for _, acquisition := range sim.cores[i].DueAcquisitions(now.Add(at), sim.incarnations[i], true) {
					if acquisition.Key != key || acquisition.NewHolder == "n-1" || !sim.commit(now.Add(at), acquisition) {
						continue
					}
					taken = at
					if now.Add(at).Before(authorityEnd) {
						t.Fatalf("taken after %s, %s before the holder's authority ended", at, authorityEnd.Sub(now.Add(at)))
					}
				}
			}
		}
		if taken == 0 {
			t.Fatal("no controller took the term over")
		}
	})
}

// Only a registered process that supports revocation is revoked, only once, and only by
// a process that is registered itself. A revocation does not apply to the next process
// of the same controller.
func TestRevocationPreconditions(t *testing.T) {
	now, none := time.Unix(1000, 0), make([]time.Duration, 3)
	sim := newSimWithDetection(now, 3*time.Second)
	target := records.Revocation{Controller: "n-1", Incarnation: 2}
	for name, r := range map[string]records.Revocation{
		"another process":    {Controller: "n-1", Incarnation: 9},
		"unknown controller": {Controller: "n-7", Incarnation: 2},
		"itself":             {Controller: "n-0", Incarnation: 1},
	} {
		if _, ok := sim.cores[0].Revoke(r); ok {
			t.Errorf("%s is revoked", name)
		}
	}
	sim.apply(now, records.KeyController("n-2"), &records.Controller{Name: "n-2", Incarnation: 3})
	if _, ok := sim.cores[0].Revoke(records.Revocation{Controller: "n-2", Incarnation: 3}); ok {
		t.Error("a process that does not support revocation is revoked")
	}
	late, _ := sim.cores[2].Revoke(target)
	if !sim.revoke(now, 0, target, none) || sim.revoke(now, 0, target, none) {
		t.Error("the process is not revoked exactly once")
	}
	if late.Conditions[0].Version == sim.keys[records.KeyRevocation("n-1")].Version {
		t.Error("a second revocation, decided concurrently, would be written")
	}
	if c := sim.cores[2]; !c.IsRevoked("n-1") || c.revokedAuthorityEnded(now.Add(2*time.Second), records.KeyShard("b")) {
		t.Error("a revoked holder's authority counts as ended before its lease would have ended")
	}
	sim.apply(now, records.KeyController("n-1"), &records.Controller{Name: "n-1", Incarnation: 5, LeaseTTLMS: 3000})
	sim.apply(now, records.KeyShard("b"), &records.Term{Shard: "b", Controller: "n-1", Incarnation: 5, Number: 6})
	if c := sim.cores[2]; c.IsRevoked("n-1") || c.revokedAuthorityEnded(now.Add(time.Hour), records.KeyShard("b")) {
		t.Error("the revocation applies to the next process")
	}
	order := sim.cores[0].rankedControllers(now.Add(time.Second), records.KeyShard("b"))
	if order[2].Name != "n-1" {
		t.Errorf("a recently revoked controller is ranked before others: %v", order)
	}
	if order = sim.cores[0].rankedControllers(now.Add(constants.FailbackCooldown), records.KeyShard("b")); order[0].Name != "n-1" {
		t.Errorf("the own zone's controller is not preferred again after the cooldown: %v", order)
	}
}

// A revocation has no effect on a core without failure detection.
func TestRevocationWithoutDetectionChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := newSimWithDetection(now, 3*time.Second)
	withoutDetection := New("n-0", testControllers, []string{"a", "b"}, now.Add(-time.Minute))
	for _, ch := range sim.keys {
		withoutDetection.Apply(now, ch)
	}
	sim.cores = append(sim.cores, withoutDetection)
	if !sim.revoke(now, 0, records.Revocation{Controller: "n-1", Incarnation: 2}, make([]time.Duration, 4)) {
		t.Fatal("not revoked")
	}
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		for _, acquisition := range withoutDetection.DueAcquisitions(now.Add(at), 1, true) {
			if acquisition.Key != records.KeyLeader {
				t.Fatalf("a core without failure detection acquired %s after %s", acquisition.Key, at)
			}
		}
	}
}

// Shards of controllers that fail at the same time are taken over one at a time, with
// the minimum interval between them.
func TestOrphanedShardsAreSpacedOut(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := newSimWithDetection(now, 3*time.Second)
	sim.apply(now, records.KeyController("n-1"), nil)
	sim.apply(now, records.KeyController("n-2"), nil)
	var acquired []time.Duration
	for at := time.Duration(0); at < 5*time.Second; at += 50 * time.Millisecond {
		for _, acquisition := range sim.cores[0].DueAcquisitions(now.Add(at), 1, true) {
			if acquisition.Key != records.KeyLeader && sim.commit(now.Add(at), acquisition) {
				acquired = append(acquired, at)
			}
		}
	}
	if len(acquired) != 2 || acquired[1]-acquired[0] < constants.MinFailoverInterval {
		t.Errorf("acquired at %v", acquired)
	}
}

// Setting the wall clock neither shortens nor lengthens the wait for the end of a
// revoked holder's authority.
func TestWallClockJumpKeepsRevocationWait(t *testing.T) {
	const leaseTTL = 3 * time.Second
	now := time.Now()
	sim := newSimWithDetection(now, leaseTTL)
	if !sim.revoke(now, 0, records.Revocation{Controller: "n-1", Incarnation: 2}, make([]time.Duration, 3)) {
		t.Fatal("not revoked")
	}
	key := records.KeyShard("b")
	for _, seconds := range []int64{-86400, -3, 3, 86400} {
		early, late := now.Add(leaseTTL), now.Add(leaseTTL+constants.AuthorityMargin+10*time.Millisecond)
		if sim.cores[0].revokedAuthorityEnded(testclock.ShiftWallClock(early, seconds), key) || !sim.cores[0].revokedAuthorityEnded(testclock.ShiftWallClock(late, seconds), key) {
			t.Errorf("a jump of %d s changes the wait", seconds)
		}
	}
}

// A revoked controller that registers again leaves its shard to the other controllers,
// even if all of them own a shard already and wait for the maximum delay before they
// acquire a second one. If it is the only controller, it acquires the shard. Guards
// against a fault with three controllers: an owner with a gray failure was revoked and
// had its shard back a second later, and another controller took the shard over only
// after the second revocation.
func TestRevokedControllerDoesNotReacquireItsShard(t *testing.T) {
	for _, alone := range []bool{false, true} {
		now := time.Unix(1000, 0)
		sim := newSimWithDetection(now, 3*time.Second)
		for _, c := range sim.cores {
			c.SetSecondShardDelay(constants.MaxSecondShardDelay)
		}
		sim.apply(now, records.KeyShard("a"), &records.Term{Shard: "a", Controller: "n-2", Incarnation: 3, Number: 4})
		if !sim.revoke(now, 2, records.Revocation{Controller: "n-1", Incarnation: 2}, make([]time.Duration, 3)) {
			t.Fatal("not revoked")
		}
		sim.incarnations[1] = 5
		sim.apply(now.Add(3*time.Second), records.KeyController("n-1"), &records.Controller{Name: "n-1", Incarnation: 5, LeaseTTLMS: 3000})
		sim.apply(now, records.KeyController("n-0"), nil)
		sim.incarnations[0] = 0
		if alone {
			sim.apply(now, records.KeyController("n-2"), nil)
			sim.incarnations[2] = 0
		}
		newOwner := ""
		for at := 3 * time.Second; at < 20*time.Second && newOwner == ""; at += 50 * time.Millisecond {
			for i, c := range sim.cores {
				if sim.incarnations[i] == 0 {
					continue
				}
				for _, acquisition := range c.DueAcquisitions(now.Add(at), sim.incarnations[i], true) {
					if sim.commit(now.Add(at), acquisition) && acquisition.Key == records.KeyShard("b") {
						newOwner = acquisition.NewHolder
					}
				}
			}
		}
		if want := map[bool]string{false: "n-2", true: "n-1"}[alone]; newOwner != want {
			t.Errorf("alone %v: %q took the shard", alone, newOwner)
		}
	}
}

// A leader that took over from a revoked leader, and is then partitioned itself,
// transfers the leadership at once, and not to the revoked controller.
func TestLeaderAfterRevocationTransfersAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := newSimWithDetection(now, 3*time.Second)
	sim.apply(now, records.KeyLeader, &records.Term{Controller: "n-1", Incarnation: 2, Number: 4})
	if !sim.revoke(now, 2, records.Revocation{Controller: "n-1", Incarnation: 2}, make([]time.Duration, 3)) {
		t.Fatal("not revoked")
	}
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		for _, i := range []int{0, 2} {
			for _, acquisition := range sim.cores[i].DueAcquisitions(now.Add(at), sim.incarnations[i], true) {
				sim.commit(now.Add(at), acquisition)
			}
		}
	}
	leader, _ := sim.cores[0].Holder(records.KeyLeader)
	for i, k := range testControllers {
		if k.Name != leader {
			continue
		}
		acquisition, ok := sim.cores[i].TransferAway(now.Add(12*time.Second), records.KeyLeader)
		if !ok || acquisition.NewHolder == "n-1" || acquisition.NewHolder == leader {
			t.Errorf("%s leads and transfers to %q", leader, acquisition.NewHolder)
		}
	}
	if leader == "n-1" || leader == "" {
		t.Errorf("%q leads", leader)
	}
}
