package shard

import (
	"fmt"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// These tests guard against the termination of machines that run: TestLossyFleet showed, in
// 5 of 160 plays, running tasks ended as "unreachable since failover" or "unreachable" after
// two unanswered probes. The owner's log had both probes within milliseconds ("direct
// command unanswered", err "the answer was lost"): a probe that fails at once was repeated at
// once, so one moment without answers counted as several, and after a failover the heartbeat
// of such a machine was not even due.

// probedFleet is a fleet of which all machines but the first send a heartbeat every second,
// while probes of that one have no answer.
type probedFleet struct {
	*rig
	silent  string
	seq     uint64
	answers int           // answer the probe after so many unanswered ones; 0: never
	takes   time.Duration // until an unanswered probe has failed
	pending time.Time     // when the open probe fails; zero: none is open
	probes  int
}

// advanceUntilTerminated lets time pass and returns after which time the silent machine was
// terminated; 0 if it was not.
func (f *probedFleet) advanceUntilTerminated(d time.Duration) time.Duration {
	began := f.now
	for f.now.Sub(began) < d {
		if (f.now.Sub(began)/(100*time.Millisecond))%10 == 0 {
			f.sendHeartbeats()
		}
		f.failProbe()
		for _, a := range f.advance(100 * time.Millisecond) {
			switch a := a.(type) {
			case SendCommands:
				f.answer(a.Machine)
			case ScaleIn:
				for _, name := range a.Names {
					if name == f.silent {
						return f.now.Sub(began)
					}
				}
			}
		}
	}
	return 0
}

func (f *probedFleet) sendHeartbeats() {
	f.seq++
	for name := range f.machines {
		if name != f.silent {
			heartbeat := newHeartbeat(name, 1, f.seq, f.latestToken(name))
			heartbeat.Spot = true // idle on-demand ones would be terminated
			f.Heartbeat(f.now, heartbeat)
		}
	}
}

func (f *probedFleet) answer(machine string) {
	if machine != f.silent {
		f.seq++
		f.CommandResult(f.now, machine, newHeartbeat(machine, 1, f.seq, f.latestToken(machine)))
		return
	}
	f.probes++
	if f.probes == f.answers+1 && f.answers > 0 {
		f.CommandResult(f.now, machine, newHeartbeat(machine, 1, 1000, f.latestToken(machine)))
		return
	}
	f.pending = f.now.Add(f.takes)
}

func (f *probedFleet) failProbe() {
	if !f.pending.IsZero() && !f.now.Before(f.pending) {
		f.pending = time.Time{}
		f.CommandResult(f.now, f.silent, nil)
	}
}

// newProbedFleet is a fleet at work, or, inherited, one whose owner has just begun.
func newProbedFleet(inherited bool) *probedFleet {
	const machines = 20
	if !inherited {
		f := &probedFleet{rig: newRig(nil), silent: "m-00000", seq: 100}
		f.bringUpFleet(machines)
		for _, m := range f.machines {
			m.spot = true
			m.lastHeartbeat = f.now
		}
		return f
	}
	var inventory []records.Machine
	for i := range machines {
		name := fmt.Sprintf("m-%05d", i)
		inventory = append(inventory, records.Machine{Name: name, Type: "box", Addr: name + ":1", Spot: true})
	}
	return &probedFleet{rig: newRig(nil, inventory...), silent: "m-00000", seq: 100}
}

// A machine is terminated for its silence only after as many unanswered probes as prove it,
// each of which stands for the whole time of a probe, however soon it failed; and not much
// later, since the tasks that were on it wait.
func TestUnansweredProbesProveAFailureOnlyOverTime(t *testing.T) {
	const proof = constants.MaxUnansweredCommands * constants.ProbeTimeout
	const slack = time.Second // rounds, scans of the fleet and of what to terminate
	for _, c := range []struct {
		name      string
		inherited bool
		overdue   time.Duration // from when on it is probed
	}{
		{"a heartbeat that is overdue", false, time.Duration(constants.HeartbeatOverduePeriods * 3 * float64(time.Second))},
		{"after a failover", true, 0},
	} {
		for _, takes := range []time.Duration{0, constants.ProbeTimeout / 2, constants.ProbeTimeout} {
			t.Run(fmt.Sprintf("%s, probes fail after %s", c.name, takes), func(t *testing.T) {
				f := newProbedFleet(c.inherited)
				f.takes = takes
				after := f.advanceUntilTerminated(20 * time.Second)
				earliest := c.overdue + proof - constants.ProbeTimeout
				if after < earliest || after > c.overdue+proof+slack {
					t.Errorf("terminated after %s and %d probes, wanted %s to %s", after, f.probes, earliest, c.overdue+proof+slack)
				}
				if f.probes < constants.MaxUnansweredCommands {
					t.Errorf("terminated after %d probes", f.probes)
				}
			})
		}
	}
}

// A machine that answers the last probe before it would be proven as failed has not failed.
func TestAnsweredProbeDiscardsUnansweredOnes(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		for _, takes := range []time.Duration{0, constants.ProbeTimeout} {
			f := newProbedFleet(inherited)
			f.takes, f.answers = takes, constants.MaxUnansweredCommands-1
			if after := f.advanceUntilTerminated(8 * time.Second); after != 0 {
				t.Errorf("inherited %v, probes fail after %s: terminated after %s and %d probes", inherited, takes, after, f.probes)
			}
		}
	}
}

// A heartbeat that another controller received discards the probes that were unanswered
// before it: the machine runs, and its silence is counted anew.
func TestMisroutedHeartbeatDiscardsUnansweredProbes(t *testing.T) {
	f := newProbedFleet(false)
	f.takes = constants.ProbeTimeout
	m := f.machines[f.silent]
	if after := f.advanceUntilTerminated(6 * time.Second); after != 0 {
		t.Fatalf("terminated after %s", after)
	}
	if m.unansweredProbes == 0 {
		t.Fatal("no probe was unanswered yet")
	}
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.silent, 1, 50}}, true)
	if m.unansweredProbes != 0 {
		t.Errorf("%d probes from before the heartbeat still count", m.unansweredProbes)
	}
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.silent, 1, 1}}, true)
	m.unansweredProbes = 2
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.silent, 1, 1}}, true)
	if m.unansweredProbes != 2 {
		t.Error("a late copy discarded probes")
	}
}
