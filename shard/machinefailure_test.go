package shard

import (
	"fmt"
	"testing"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// These tests guard against the termination of machines that run. TestLossyFleet showed, in 5
// of 160 runs, that running tasks ended as "unreachable since failover" or "unreachable"
// after two unanswered probes. The owner's log had both probes within milliseconds ("worker
// did not answer a direct command", err "the answer was lost"). The owner repeated a probe at
// once if it failed at once, so a short moment without replies counted as several unanswered
// probes. After a failover the heartbeat of such a machine was not even due.

// probedFleet is a fleet in which one machine sends no heartbeat and its probes get no reply,
// while all other machines send a heartbeat every second.
type probedFleet struct {
	*testOwner
	unreachable string
	seq         uint64
	answerAfter int           // number of unanswered probes after which a probe is answered; 0: never
	failsAfter  time.Duration // time until an unanswered probe fails
	failsAt     time.Time     // time at which the probe in flight fails; zero: none is in flight
	probes      int
}

// advanceUntilTerminated advances the time by at most d. It returns the time after which the
// unreachable machine was terminated, or 0 if it was not.
func (f *probedFleet) advanceUntilTerminated(d time.Duration) time.Duration {
	startedAt := f.now
	for f.now.Sub(startedAt) < d {
		if (f.now.Sub(startedAt)/(100*time.Millisecond))%10 == 0 {
			f.sendHeartbeats()
		}
		f.failProbe()
		for _, a := range f.advance(100 * time.Millisecond) {
			switch a := a.(type) {
			case SendCommands:
				f.answer(a.Machine)
			case ScaleIn:
				for _, name := range a.Names {
					if name == f.unreachable {
						return f.now.Sub(startedAt)
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
		if name != f.unreachable {
			heartbeat := newHeartbeat(name, 1, f.seq, f.latestToken(name))
			heartbeat.Spot = true // idle on-demand machines would be terminated
			f.Heartbeat(f.now, heartbeat)
		}
	}
}

func (f *probedFleet) answer(machine string) {
	if machine != f.unreachable {
		f.seq++
		f.CommandResult(f.now, machine, newHeartbeat(machine, 1, f.seq, f.latestToken(machine)))
		return
	}
	f.probes++
	if f.probes == f.answerAfter+1 && f.answerAfter > 0 {
		f.CommandResult(f.now, machine, newHeartbeat(machine, 1, 1000, f.latestToken(machine)))
		return
	}
	f.failsAt = f.now.Add(f.failsAfter)
}

func (f *probedFleet) failProbe() {
	if !f.failsAt.IsZero() && !f.now.Before(f.failsAt) {
		f.failsAt = time.Time{}
		f.CommandResult(f.now, f.unreachable, nil)
	}
}

// newProbedFleet returns a fleet whose machines are known to the owner or, with inherited, a
// fleet whose owner has just acquired its term.
func newProbedFleet(inherited bool) *probedFleet {
	const machines = 20
	if !inherited {
		f := &probedFleet{testOwner: newTestOwner(nil), unreachable: "m-00000", seq: 100}
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
	return &probedFleet{testOwner: newTestOwner(nil, inventory...), unreachable: "m-00000", seq: 100}
}

// A machine without heartbeats is terminated only after constants.MaxUnansweredCommands
// unanswered probes. Each probe counts for the whole of constants.ProbeTimeout, however soon
// it failed. The termination must not be much later either, since the tasks that were on the
// machine wait for it.
func TestUnansweredProbesProveAFailureOnlyOverTime(t *testing.T) {
	const proof = constants.MaxUnansweredCommands * constants.ProbeTimeout
	const slack = time.Second // time for placement rounds, scans of the fleet and checks for machines to terminate
	for _, c := range []struct {
		name      string
		inherited bool
		overdue   time.Duration // time after which the machine is probed
	}{
		{"overdue heartbeat", false, time.Duration(constants.HeartbeatOverduePeriods * 3 * float64(time.Second))},
		{"after a failover", true, 0},
	} {
		for _, failsAfter := range []time.Duration{0, constants.ProbeTimeout / 2, constants.ProbeTimeout} {
			t.Run(fmt.Sprintf("%s, probes fail after %s", c.name, failsAfter), func(t *testing.T) {
				f := newProbedFleet(c.inherited)
				f.failsAfter = failsAfter
				after := f.advanceUntilTerminated(20 * time.Second)
				earliest := c.overdue + proof - constants.ProbeTimeout
				if after < earliest || after > c.overdue+proof+slack {
					t.Errorf("terminated after %s and %d probes, want %s to %s", after, f.probes, earliest, c.overdue+proof+slack)
				}
				if f.probes < constants.MaxUnansweredCommands {
					t.Errorf("terminated after %d probes", f.probes)
				}
			})
		}
	}
}

// A machine that answers the last probe before it would count as failed is not terminated.
func TestAnsweredProbeDiscardsUnansweredOnes(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		for _, failsAfter := range []time.Duration{0, constants.ProbeTimeout} {
			f := newProbedFleet(inherited)
			f.failsAfter, f.answerAfter = failsAfter, constants.MaxUnansweredCommands-1
			if after := f.advanceUntilTerminated(8 * time.Second); after != 0 {
				t.Errorf("inherited %v, probes fail after %s: terminated after %s and %d probes", inherited, failsAfter, after, f.probes)
			}
		}
	}
}

// A heartbeat that another controller received discards the unanswered probes from before it:
// the machine runs, and missing replies are counted anew.
func TestMisroutedHeartbeatDiscardsUnansweredProbes(t *testing.T) {
	f := newProbedFleet(false)
	f.failsAfter = constants.ProbeTimeout
	m := f.machines[f.unreachable]
	if after := f.advanceUntilTerminated(6 * time.Second); after != 0 {
		t.Fatalf("terminated after %s", after)
	}
	if m.unansweredProbes == 0 {
		t.Fatal("no probe was left unanswered")
	}
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.unreachable, 1, 50}}, true)
	if m.unansweredProbes != 0 {
		t.Errorf("%d unanswered probes from before the heartbeat still count", m.unansweredProbes)
	}
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.unreachable, 1, 1}}, true)
	m.unansweredProbes = 2
	f.ApplyMisroutedHeartbeats(f.now, []MisroutedHeartbeat{{f.unreachable, 1, 1}}, true)
	if m.unansweredProbes != 2 {
		t.Error("a late copy of a heartbeat discarded unanswered probes")
	}
}
