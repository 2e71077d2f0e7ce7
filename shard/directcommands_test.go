package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
)

// A start is sent in the step that decides it, also between two scans of the fleet.
func TestStartIsSentAtOnce(t *testing.T) {
	r := newTestOwner(nil)
	for i := range 3 {
		r.bringUp(fmt.Sprintf("m-%d", i))
	}
	r.advance(constants.FleetScanInterval) // runs a scan of the fleet; the next scan is one interval later
	job := arrayJob("run-1", 2, "a")
	job.AcceptedMS = r.now.UnixMilli()
	r.submit(job)
	actions := r.advance(constants.MinOwnerStepInterval)
	n := 0
	for i := range 3 {
		n += len(directStarts(actions, fmt.Sprintf("m-%d", i)))
	}
	if n != 2 {
		t.Fatalf("%d of 2 starts were sent in the step that decided them", n)
	}
}

// With any order of replies, lost replies and terminations, the number of direct commands in
// flight is counted correctly and stays within the limit, and no pending command is lost: the
// command queue or the next scan of the fleet sends it.
func TestDirectCommandsInFlightAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 12
		r := newTestOwner(nil)
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		r.cfg.MaxDirectCommands = rapid.IntRange(1, 4).Draw(t, "calls")
		inFlight := map[string]bool{}
		check := func(actions []Action) {
			for _, a := range actions {
				s, ok := a.(SendCommands)
				if !ok {
					continue
				}
				if inFlight[s.Machine] {
					t.Fatalf("a second command was sent to %s while one is in flight", s.Machine)
				}
				inFlight[s.Machine] = true
			}
			if len(inFlight) > r.cfg.MaxDirectCommands {
				t.Fatalf("%d commands in flight, %d allowed", len(inFlight), r.cfg.MaxDirectCommands)
			}
			if r.commandsInFlight != len(inFlight) {
				t.Fatalf("%d commands in flight, counted as %d", len(inFlight), r.commandsInFlight)
			}
		}
		for i := range rapid.IntRange(5, 60).Draw(t, "moves") {
			name := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			switch rapid.IntRange(0, 4).Draw(t, "move") {
			case 0:
				r.submit(arrayJob(fmt.Sprintf("run-%d", i), rapid.IntRange(1, 6).Draw(t, "tasks"), "a"))
			case 1:
				if inFlight[name] {
					delete(inFlight, name)
					r.CommandResult(r.now, name, nil)
				}
			case 2: // the machine's termination is confirmed while a command may be in flight
				if r.machines[name] != nil {
					r.ScaleInResult(r.now, []string{name})
					r.removeMachine(&r.outbox, r.machines[name])
					delete(inFlight, name)
				}
			case 3: // a terminated machine answers late
				if r.machines[name] == nil {
					r.CommandResult(r.now, name, nil)
				}
			}
			check(r.advance(constants.MinOwnerStepInterval))
		}
		for name := range inFlight {
			r.CommandResult(r.now, name, nil)
		}
		clear(inFlight)
		for range 4 * machines { // enough steps for every machine within the limit
			check(r.advance(constants.CommandRetryInterval))
			for name := range inFlight {
				r.CommandResult(r.now, name, nil)
			}
			clear(inFlight)
		}
		for _, m := range r.machines {
			for _, attempt := range m.attempts {
				if attempt.state == stateSent && r.isWanted(attempt) && !attempt.sentDirectly && m.hasSeenTerm(r.term) && !m.isUnconfirmed() && !m.scalingIn {
					t.Fatalf("the start was never sent: machine %s, task %s", m.name, attempt.key.task)
				}
			}
		}
	})
}

// A machine whose epoch is not known is probed before commands are sent to it.
func TestUnknownEpochIsProbedFirst(t *testing.T) {
	r := newTestOwner(nil)
	m := r.ensureMachine("m-new")
	m.addr, m.requestedAt = "m-new:1", r.now
	r.requestCommand(m)
	for _, a := range r.advance(constants.FleetScanInterval) {
		if s, ok := a.(SendCommands); ok {
			if s.Machine != "m-new" || len(s.Request.Commands) != 0 {
				t.Fatalf("sent %+v", s)
			}
			return
		}
	}
	t.Fatal("the machine was not probed")
}

// The probes of one step are bounded, however many machines are unreachable.
func TestProbesPerStepAreBounded(t *testing.T) {
	r := newTestOwner(nil)
	const machines = 3 * constants.MaxProbesPerStep
	r.bringUpFleet(machines)
	r.Step(r.now)
	probed := 0
	for end := r.now.Add(2 * r.cfg.HeartbeatPeriod); probed == 0 && r.now.Before(end); {
		for _, a := range r.advance(time.Second) {
			if s, ok := a.(SendCommands); ok && len(s.Request.Commands) == 0 {
				probed++
			}
		}
	}
	if probed != constants.MaxProbesPerStep {
		t.Fatalf("%d of %d unreachable machines were probed in one step", probed, machines)
	}
}
