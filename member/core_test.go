package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
	"ravenport/records"
)

var testControllers = []Controller{{Name: "n-0", Zone: "a"}, {Name: "n-1", Zone: "b"}, {Name: "n-2", Zone: "a"}}

// storeSim simulates a key-value store whose feed is applied by three cores.
type storeSim struct {
	version         uint64
	keys            map[string]records.Change
	cores           []*Core
	incarnations    []uint64
	lastIncarnation uint64 // of any controller's process
}

func (s *storeSim) apply(now time.Time, key string, record records.Record) {
	s.version++
	change := records.Change{Key: key, Version: s.version, Record: record}
	if record == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = change
	}
	for _, c := range s.cores {
		c.Apply(now, change)
	}
}

func (s *storeSim) commit(now time.Time, acquisition TermAcquisition) bool {
	for _, c := range acquisition.Txn.Conditions {
		if s.keys[c.Key].Version != c.Version {
			return false
		}
	}
	record, err := records.Decode(acquisition.Key, acquisition.Txn.Changes[0].Value)
	if err != nil {
		panic(err)
	}
	s.apply(now, acquisition.Key, record)
	return true
}

// start registers a new process of a controller.
func (s *storeSim) start(now time.Time, i int) {
	s.lastIncarnation++
	s.incarnations[i] = s.lastIncarnation
	name := testControllers[i].Name
	s.apply(now, records.KeyController(name), &records.Controller{Name: name, Incarnation: s.lastIncarnation})
}

// stop ends the registration of a controller's process, if there is one.
func (s *storeSim) stop(now time.Time, i int) {
	if s.incarnations[i] != 0 {
		s.incarnations[i] = 0
		s.apply(now, records.KeyController(testControllers[i].Name), nil)
	}
}

// acquireDue commits all due acquisitions. It checks that each acquisition increases the
// term by one, and that none takes a term from another live controller.
func (s *storeSim) acquireDue(t *rapid.T, now time.Time) {
	t.Helper()
	for i, c := range s.cores {
		if s.incarnations[i] == 0 {
			continue
		}
		for _, acquisition := range c.DueAcquisitions(now, s.incarnations[i], true) {
			before, _ := c.Term(acquisition.Key)
			holder, held := c.Holder(acquisition.Key)
			if held && holder != testControllers[i].Name {
				t.Fatalf("%s acquired %s from live %s", testControllers[i].Name, acquisition.Key, holder)
			}
			if !s.commit(now, acquisition) {
				continue
			}
			after, _ := c.Term(acquisition.Key)
			if after.Number != before.Number+1 {
				t.Fatalf("%s went from term %d to %d", acquisition.Key, before.Number, after.Number)
			}
		}
	}
}

// In any sequence of failures and restarts, terms only increase, and no controller takes
// a term from a live holder unless the term was transferred. Once the failures end,
// every shard is held in its own zone.
func TestTermsIncreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sim := &storeSim{keys: map[string]records.Change{}, incarnations: make([]uint64, 3)}
		wait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "second shard wait")) * time.Millisecond
		for _, k := range testControllers {
			c := New(k.Name, testControllers, []string{"a", "b"}, now)
			c.SetSecondShardDelay(wait)
			sim.cores = append(sim.cores, c)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "node")
			if rapid.Bool().Draw(t, "up") {
				sim.start(now, i)
			} else {
				sim.stop(now, i)
			}
			sim.acquireDue(t, now)
		}
		for i := range testControllers {
			if sim.incarnations[i] == 0 {
				sim.start(now, i)
			}
		}
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			sim.acquireDue(t, now)
		}
		sim.checkConverged(t)
	})
}

// checkConverged checks that there is a leader, and that every shard is held in its own
// zone.
func (s *storeSim) checkConverged(t *rapid.T) {
	t.Helper()
	for _, shard := range []string{"a", "b"} {
		holder, held := s.cores[0].Holder(records.KeyShard(shard))
		zone := ""
		for _, k := range testControllers {
			if k.Name == holder {
				zone = k.Zone
			}
		}
		if !held || zone != shard {
			t.Fatalf("shard %s is held by %s in %q", shard, holder, zone)
		}
	}
	if _, held := s.cores[0].Holder(records.KeyLeader); !held {
		t.Fatal("no controller leads")
	}
}

// newSim returns a simulation of three controllers that are up and know of each other.
func newSim(now time.Time) *storeSim {
	sim := &storeSim{keys: map[string]records.Change{}, incarnations: []uint64{1, 2, 3}}
	for _, k := range testControllers {
		sim.cores = append(sim.cores, New(k.Name, testControllers, []string{"a", "b"}, now))
	}
	for i, k := range testControllers {
		sim.apply(now, records.KeyController(k.Name), &records.Controller{Name: k.Name, Incarnation: uint64(i + 1)})
	}
	return sim
}

// A shard that was transferred away because its machines could not reach the owner does
// not fail back to that owner at once.
func TestTransferredShardFailsBackAfterCooldown(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := newSim(now)
	key := records.KeyShard("b")
	sim.apply(now, key, &records.Term{Shard: "b", Controller: "n-1", Incarnation: 2, Number: 4})
	acquisition, ok := sim.cores[1].TransferAway(now, key)
	if !ok || acquisition.NewHolder == "n-1" || !sim.commit(now, acquisition) {
		t.Fatalf("not transferred: %+v", acquisition)
	}
	failedBackAfter := time.Duration(0)
	for at := time.Duration(0); at < 2*time.Minute && failedBackAfter == 0; at += time.Second {
		for i, c := range sim.cores {
			for _, acquisition := range c.DueAcquisitions(now.Add(at), sim.incarnations[i], true) {
				if acquisition.Key == key && acquisition.NewHolder == "n-1" && sim.commit(now.Add(at), acquisition) {
					failedBackAfter = at
				}
			}
		}
	}
	if failedBackAfter < 30*time.Second {
		t.Fatalf("failed back after %s", failedBackAfter)
	}
	fmt.Fprintln(t.Output(), "failed back after", failedBackAfter)
}

// If no controller reaches another, the leadership is transferred once and then stays
// for the failback cooldown.
func TestIsolatedLeadersTransferOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := newSim(now)
	sim.apply(now, records.KeyLeader, &records.Term{Controller: "n-1", Incarnation: 2, Number: 4})
	transfers := 0
	for at := time.Duration(0); at < constants.FailbackCooldown; at += time.Second {
		for i, k := range testControllers {
			if holder, _ := sim.cores[0].Holder(records.KeyLeader); holder != k.Name {
				continue
			}
			if acquisition, ok := sim.cores[i].TransferAway(now.Add(at), records.KeyLeader); ok && sim.commit(now.Add(at), acquisition) {
				transfers++
			}
		}
	}
	if transfers != 1 {
		t.Fatalf("transferred %d times", transfers)
	}
}

// A controller that owns a shard leaves a second vacant shard to that shard's own
// controller for the configured delay, and no longer. A controller without a shard
// acquires one at once, and only one of two vacant shards.
func TestSecondShardAcquisitionIsDelayed(t *testing.T) {
	const wait = 4 * time.Second
	now := time.Unix(1000, 0)
	key := records.KeyShard("b")
	acquireShards := func(owns bool) (acquired map[string]time.Duration) {
		sim := newSim(now.Add(-constants.StartupAcquisitionDelay)) // the startup delay is over
		for _, c := range sim.cores {
			c.SetSecondShardDelay(wait)
		}
		holder := &records.Term{Shard: "a", Controller: "n-2", Incarnation: 3, Number: 4}
		if !owns { // n-1 owned both shards
			holder = &records.Term{Shard: "a", Controller: "n-1", Incarnation: 2, Number: 4}
		}
		sim.apply(now, records.KeyShard("a"), holder)
		sim.apply(now, key, &records.Term{Shard: "b", Controller: "n-1", Incarnation: 2, Number: 7})
		sim.apply(now, records.KeyController("n-0"), nil)
		sim.apply(now, records.KeyController("n-1"), nil)
		acquired = map[string]time.Duration{}
		for at := time.Duration(0); at < 3*wait; at += 100 * time.Millisecond {
			for _, acquisition := range sim.cores[2].DueAcquisitions(now.Add(at), 3, true) {
				if sim.commit(now.Add(at), acquisition) && acquisition.Key != records.KeyLeader {
					acquired[acquisition.Key] = at
				}
			}
		}
		return acquired
	}
	if acquired := acquireShards(true); len(acquired) != 1 || acquired[key] < wait || acquired[key] > wait+time.Second {
		t.Errorf("a controller with a shard acquires %v, want the other shard after %s", acquired, wait)
	}
	acquired := acquireShards(false)
	first, second := min(acquired[records.KeyShard("a")], acquired[key]), max(acquired[records.KeyShard("a")], acquired[key])
	if len(acquired) != 2 || first > 2*constants.AcquisitionRankDelay || second < wait || second > wait+time.Second {
		t.Errorf("a controller without a shard acquires %v, want one at once and one after %s", acquired, wait)
	}
}
