package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
)

// A start that was decided goes out with the very next step, also between two looks
// at the whole fleet.
func TestStartIsSentAtOnce(t *testing.T) {
	r := newRig(nil)
	for i := range 3 {
		r.bringUp(fmt.Sprintf("m-%d", i))
	}
	r.advance(constants.FleetScanInterval) // a look at the fleet; the next one is that far away
	job := arrayJob("run-1", 2, "a")
	job.AcceptedMS = r.now.UnixMilli()
	r.submit(job)
	acts := r.advance(constants.MinOwnerStepInterval)
	n := 0
	for i := range 3 {
		n += len(directStarts(acts, fmt.Sprintf("m-%d", i)))
	}
	if n != 2 {
		t.Fatalf("%d of 2 starts went out with the step that decided them", n)
	}
}

// Whatever is answered, lost or terminated meanwhile, the direct commands in flight
// are counted right, never exceed what is allowed, and nothing that a machine should
// be told is forgotten: its place in the queue or the next look brings it.
func TestDirectCommandsInFlightAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 12
		r := newRig(nil)
		for i := range machines {
			r.bringUp(fmt.Sprintf("m-%d", i))
		}
		r.cfg.MaxDirectCommands = rapid.IntRange(1, 4).Draw(t, "calls")
		open := map[string]bool{}
		take := func(acts []Action) {
			for _, a := range acts {
				s, ok := a.(SendCommands)
				if !ok {
					continue
				}
				if open[s.Machine] {
					t.Fatalf("a second command to %s while one is under way", s.Machine)
				}
				open[s.Machine] = true
			}
			if len(open) > r.cfg.MaxDirectCommands {
				t.Fatalf("%d commands under way, %d allowed", len(open), r.cfg.MaxDirectCommands)
			}
			if r.commandsInFlight != len(open) {
				t.Fatalf("%d commands under way, counted as %d", len(open), r.commandsInFlight)
			}
		}
		for i := range rapid.IntRange(5, 60).Draw(t, "moves") {
			name := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			switch rapid.IntRange(0, 4).Draw(t, "move") {
			case 0:
				r.submit(arrayJob(fmt.Sprintf("run-%d", i), rapid.IntRange(1, 6).Draw(t, "tasks"), "a"))
			case 1:
				if open[name] {
					delete(open, name)
					r.CommandResult(r.now, name, nil)
				}
			case 2: // its return is confirmed while a command may be under way
				if r.machines[name] != nil {
					r.ScaleInResult(r.now, []string{name})
					r.removeMachine(&r.outbox, r.machines[name])
					delete(open, name)
				}
			case 3: // a terminated machine answers late
				if r.machines[name] == nil {
					r.CommandResult(r.now, name, nil)
				}
			}
			take(r.advance(constants.MinOwnerStepInterval))
		}
		for name := range open {
			r.CommandResult(r.now, name, nil)
		}
		clear(open)
		for range 4 * machines { // every machine in turn, within the bound
			take(r.advance(constants.CommandRetryInterval))
			for name := range open {
				r.CommandResult(r.now, name, nil)
			}
			clear(open)
		}
		for _, m := range r.machines {
			for _, att := range m.attempts {
				if att.state == stateSent && r.isWanted(att) && !att.sentDirectly && m.hasSeenTerm(r.term) && !m.isUnconfirmed() && !m.scalingIn {
					t.Fatalf("%s was never sent the start of %s", m.name, att.key.task)
				}
			}
		}
	})
}

// A machine whose epoch is not known is probed before commands are sent to it.
func TestUnknownEpochIsProbedFirst(t *testing.T) {
	r := newRig(nil)
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
	t.Fatal("it was not asked")
}

// The probes of one step are bounded, however many machines are unreachable.
func TestProbesPerStepAreBounded(t *testing.T) {
	r := newRig(nil)
	const machines = 3 * constants.MaxProbesPerStep
	r.bringUpFleet(machines)
	r.Step(r.now)
	asked := 0
	for end := r.now.Add(2 * r.cfg.HeartbeatPeriod); asked == 0 && r.now.Before(end); {
		for _, a := range r.advance(time.Second) {
			if s, ok := a.(SendCommands); ok && len(s.Request.Commands) == 0 {
				asked++
			}
		}
	}
	if asked != constants.MaxProbesPerStep {
		t.Fatalf("%d machines probed in one step of %d unreachable ones", asked, machines)
	}
}
