package detector

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

// A live controller whose messages are delayed within a bound is never suspected or
// declared failed, whatever the single delays are. An observer that was paused for a
// while does not accuse other controllers because of its own pause.
func TestLiveControllerIsNeverSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		network := newNetwork(size)
		network.delay = func(string, string) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond, true
		}
		network.loseWhilePaused = rapid.Bool().Draw(t, "what comes in a pause is lost")
		network.run(3 * time.Second)
		observer := network.controllers[rapid.IntRange(0, size-1).Draw(t, "observer")]
		for range rapid.IntRange(0, 2).Draw(t, "pauses") {
			pause := time.Duration(rapid.IntRange(200, 20000).Draw(t, "pause")) * time.Millisecond
			observer.pausedUntil = network.now.Add(pause)
			network.run(pause + 4*time.Second)
		}
		network.run(10 * time.Second)
		for _, node := range network.controllers {
			if node != observer && observer.reached(node.name, Suspect) {
				t.Errorf("%s, which was paused itself, suspected %s: %+v", observer.name, node.name, observer.stateChanges)
			}
			for _, c := range network.controllers {
				if c == observer || c == node {
					continue
				}
				if node != observer && c.reached(node.name, Suspect) || c.reached(node.name, Failed) {
					t.Errorf("%s accused %s: %+v", c.name, node.name, c.stateChanges)
				}
			}
		}
	})
}

// A controller that makes no progress is declared failed by every other controller
// within a bounded time, whether or not its heartbeats still arrive, and never by fewer
// than a majority.
func TestFailedControllerIsDeclaredInTime(t *testing.T) {
	const bound = 25 * time.Second
	// The last heartbeat may have arrived an interval before the links went down.
	const beforeDeclaration = 5*time.Second - testInterval - 200*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		network := newNetwork(size)
		network.run(5 * time.Second)
		failed := network.controllers[rapid.IntRange(0, size-1).Draw(t, "failed")]
		kind := rapid.SampledFrom([]Evidence{Stalled, Unserved}).Draw(t, "kind")
		if kind == Stalled {
			failed.detector.SetStalled([]string{"owner of a"})
		} else {
			network.delay = func(from, to string) (time.Duration, bool) {
				return 5 * time.Millisecond, from != failed.name && to != failed.name
			}
			for _, c := range network.controllers {
				c.detector.SetUnserved(network.now, failed.name, rapid.Bool().Draw(t, "sees its workers") || c == network.controllers[0] || c == network.controllers[1])
			}
		}
		network.run(beforeDeclaration)
		for _, c := range network.controllers {
			if c.reached(failed.name, Failed) {
				t.Errorf("%s: declared failed too early by %s", kind, c.name)
			}
		}
		network.run(bound - 4500*time.Millisecond)
		for _, c := range network.controllers {
			if c != failed && (c.state(network.now, failed.name) != Failed || len(c.detector.Proposals(network.now)) != 1) {
				t.Errorf("%s: %s is %s for %s", kind, failed.name, c.state(network.now, failed.name), c.name)
			}
		}
	})
}

// Evidence that has ended no longer counts, not even against a controller that was
// declared failed on it. A controller that recovers before it was replaced is not
// proposed any more.
func TestRecoveryWithdrawsProposal(t *testing.T) {
	network := newNetwork(3)
	network.run(3 * time.Second)
	unserved := func(is bool) {
		for _, c := range network.controllers[:2] {
			c.detector.SetUnserved(network.now, "n-2", is)
		}
		network.run(9 * time.Second)
	}
	unserved(true)
	if d := network.controllers[0].detector; len(d.Proposals(network.now)) != 1 {
		t.Fatalf("not proposed: %+v", d.PeerViews(network.now))
	}
	network.controllers[1].detector.SetUnserved(network.now, "n-2", false)
	network.run(3 * time.Second)
	if d := network.controllers[0].detector; len(d.Proposals(network.now)) != 0 {
		t.Errorf("proposed without a majority: %+v", d.PeerViews(network.now))
	}
	unserved(false)
	if d := network.controllers[0].detector; len(d.Proposals(network.now)) != 0 || network.controllers[0].state(network.now, "n-2") != Alive {
		t.Errorf("still failed or proposed after its recovery: %+v", d.PeerViews(network.now))
	}
}

// An observer does not count the time of its own pause towards the age of its evidence.
func TestPauseDoesNotAgeEvidence(t *testing.T) {
	network := newNetwork(3)
	network.loseWhilePaused = true
	network.run(3 * time.Second)
	observer := network.controllers[0]
	for _, c := range network.controllers[:2] {
		c.detector.SetUnserved(network.now, "n-2", true)
	}
	network.run(2 * time.Second)
	observer.pausedUntil = network.now.Add(8 * time.Second)
	network.run(10 * time.Second)
	if observer.reached("n-2", Failed) {
		t.Errorf("declared failed on evidence that was 4 s old: %+v", observer.stateChanges)
	}
	if other := network.controllers[1]; !other.reached("n-2", Suspect) {
		t.Errorf("the other observer suspects no controller: %+v", other.stateChanges)
	}
}

// The suspicion timeout adapts to the observed heartbeat intervals within its bounds.
func TestSuspicionTimeoutAdapts(t *testing.T) {
	network := newNetwork(3)
	network.run(20 * time.Second)
	bound := func() time.Duration {
		return network.controllers[0].detector.PeerViews(network.now)[0].SuspicionTimeout
	}
	if usual := bound(); usual < 2500*time.Millisecond || usual >= 3*time.Second {
		t.Errorf("suspicion timeout is %s without lost messages", usual)
	}
	irregular := 0
	network.delay = func(string, string) (time.Duration, bool) {
		irregular++
		return 5 * time.Millisecond, irregular%7 < 3
	}
	network.run(60 * time.Second)
	if adapted := bound(); adapted <= 3*time.Second || adapted > 8*time.Second {
		t.Errorf("suspicion timeout is %s with more than half of the messages lost", adapted)
	}
}

// An observer that receives no heartbeats extends its timeouts, and shortens them after
// heartbeats arrive again.
func TestIsolatedObserverExtendsItsTimeouts(t *testing.T) {
	network := newNetwork(5)
	network.run(5 * time.Second)
	bound := func() time.Duration {
		return network.controllers[0].detector.PeerViews(network.now)[0].SuspicionTimeout
	}
	usual := bound()
	network.delay = func(from, to string) (time.Duration, bool) {
		return 5 * time.Millisecond, from != "n-0" && to != "n-0"
	}
	network.run(20 * time.Second)
	if bound() < 4*usual {
		t.Errorf("suspicion timeout is %s after 20 s of isolation, and was %s before", bound(), usual)
	}
	network.delay = func(string, string) (time.Duration, bool) { return 5 * time.Millisecond, true }
	network.run(20 * time.Second)
	if bound() > usual+usual/4 {
		t.Errorf("suspicion timeout is still %s after the isolation", bound())
	}
}

// A live controller is not declared failed without a majority that has evidence about the
// controller's work. Neither the evidence of a minority nor links that are down suffice.
func TestNobodyIsDeclaredWithoutMajorityAndWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		network := newNetwork(size)
		network.run(5 * time.Second)
		target := network.controllers[size-1]
		minority := size / 2
		onlyLinks := rapid.Bool().Draw(t, "only links")
		if onlyLinks { // no controller reaches it, and none has evidence about its work
			network.delay = func(from, to string) (time.Duration, bool) {
				return 5 * time.Millisecond, from != target.name && to != target.name
			}
		} else {
			for _, c := range network.controllers[:minority] {
				c.detector.SetUnserved(network.now, target.name, true)
			}
		}
		network.run(40 * time.Second)
		for _, c := range network.controllers[:size-1] {
			if c.reached(target.name, Failed) || len(c.detector.Proposals(network.now)) > 0 {
				t.Errorf("only links %v: %s declared it failed: %+v", onlyLinks, c.name, c.stateChanges)
			}
			if onlyLinks && c.state(network.now, target.name) != Suspect {
				t.Errorf("%s does not suspect a controller that no controller reaches", c.name)
			}
		}
	})
}

// A link that is down raises no suspicion while another controller still reaches the
// controller whose heartbeats are missing.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	network := newNetwork(3)
	network.run(5 * time.Second)
	network.delay = func(from, to string) (time.Duration, bool) {
		linkDown := from == "n-0" && to == "n-2" || from == "n-2" && to == "n-0"
		return 5 * time.Millisecond, !linkDown
	}
	network.run(60 * time.Second)
	if network.controllers[0].reached("n-2", Suspect) || network.controllers[2].reached("n-0", Suspect) {
		t.Errorf("suspected because of one link that is down: %+v, %+v", network.controllers[0].stateChanges, network.controllers[2].stateChanges)
	}
	if v := network.controllers[0].detector.PeerViews(network.now); v[1].SinceHeartbeat > 8*time.Second {
		t.Errorf("no indirect probe was answered: %+v", v[1])
	}
}

// A controller whose own heartbeats arrive, but that answers no other controller, is
// suspected for that by all other controllers, whatever its heartbeats refute. A
// controller that still answers one other controller is not suspected.
func TestUnansweredCallsAreEvidence(t *testing.T) {
	for _, answersOne := range []bool{false, true} {
		network := newNetwork(3)
		network.run(5 * time.Second)
		network.delay = func(from, to string) (time.Duration, bool) {
			lost := to == "n-2" && !(answersOne && from == "n-1")
			return 5 * time.Millisecond, !lost
		}
		network.run(30 * time.Second)
		for _, c := range network.controllers[:2] {
			v := c.detector.PeerViews(network.now)[1]
			if answersOne != (v.State == Alive) || !answersOne && !slices.Equal(v.Evidence, []Evidence{Unanswered}) {
				t.Errorf("answers one controller: %v, view of %s: %+v", answersOne, c.name, v)
			}
			if c.reached("n-2", Failed) {
				t.Errorf("%s declared it failed without evidence about its work", c.name)
			}
		}
	}
}

// Whatever messages were lost or delayed, no controller remains suspected as unreachable
// once messages arrive again. A suspicion that was refuted ends before that.
func TestRefutedSuspicionIsRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers")
		network := newNetwork(size)
		network.run(5 * time.Second)
		loss := rapid.IntRange(10, 100).Draw(t, "loss")
		network.delay = func(string, string) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond, rapid.IntRange(1, 100).Draw(t, "lost") > loss
		}
		network.run(time.Duration(rapid.IntRange(5, 30).Draw(t, "seconds")) * time.Second)
		network.delay = func(string, string) (time.Duration, bool) { return 5 * time.Millisecond, true }
		network.run(5 * time.Second)
		for _, c := range network.controllers {
			for _, v := range c.detector.PeerViews(network.now) {
				if v.State != Alive || len(v.Accusers) > 0 {
					t.Errorf("%s still has evidence against %s: %+v", c.name, v.Controller, v)
				}
			}
		}
	})
}

// A suspect that learns of the suspicion raises its refutation number. An accusation
// from before the refutation no longer counts, even if it is repeated.
func TestSuspectRefutes(t *testing.T) {
	network := newNetwork(3)
	network.run(3 * time.Second)
	suspect, accuser, third := network.controllers[0].detector, network.controllers[1].detector, network.controllers[2].detector
	accusation := Accusation{Controller: "n-0", Incarnation: 1, Evidence: []Evidence{Unreachable}}
	message := accuser.NextHeartbeat()
	message.Accusations = []Accusation{accusation}
	if err := suspect.HandleMessage(network.now, message); err != nil || !suspect.IsRefutationPending() {
		t.Fatalf("err %v, refutes at once: %v", err, suspect.IsRefutationPending())
	}
	if err := third.HandleMessage(network.now, suspect.NextHeartbeat()); err != nil {
		t.Fatal(err)
	}
	message = accuser.NextHeartbeat()
	message.Accusations = []Accusation{accusation}
	if err := third.HandleMessage(network.now, message); err != nil {
		t.Fatal(err)
	}
	if v := third.PeerViews(network.now)[0]; v.Refutation != 1 || len(v.Accusers) != 0 {
		t.Errorf("the refuted accusation counts: %+v", v)
	}
	message.Heartbeat.Sequence++
	message.Accusations[0].Evidence = []Evidence{Unserved}
	if err := third.HandleMessage(network.now, message); err != nil {
		t.Fatal(err)
	}
	if v := third.PeerViews(network.now)[0]; len(v.Accusers) != 1 {
		t.Errorf("evidence about work was removed by a refutation: %+v", v)
	}
}

// Heartbeats of an earlier incarnation, duplicates and late heartbeats are ignored. When
// its lease ends, a controller has failed at once.
func TestRetiredIncarnationIsIgnored(t *testing.T) {
	network := newNetwork(3)
	network.run(3 * time.Second)
	observer := network.controllers[0].detector
	old := network.controllers[1].detector.NextHeartbeat()
	for _, copies := range []int{1, 2} {
		if err := observer.HandleMessage(network.now, old); err != nil {
			t.Fatal(copies, err)
		}
	}
	copied := network.now.Add(2 * time.Second)
	if err := observer.HandleMessage(copied, old); err != nil || observer.PeerViews(copied)[0].SinceHeartbeat < 2*time.Second {
		t.Errorf("a duplicate counted as a heartbeat: %v, %+v", err, observer.PeerViews(copied)[0])
	}
	observer.SetLease(network.now, "n-1", 0)
	observer.Tick(network.now)
	if s := network.controllers[0].state(network.now, "n-1"); s != Failed {
		t.Errorf("state after its lease ended: %s", s)
	}
	observer.SetLease(network.now, "n-1", 77)
	old.Heartbeat.Sequence += 10
	if err := observer.HandleMessage(network.now, old); err != nil {
		t.Fatal(err)
	}
	observer.Tick(network.now)
	if v := observer.PeerViews(network.now)[0]; v.State != Unmonitored || v.Incarnation != 77 {
		t.Errorf("a late heartbeat of the old process counted: %+v", v)
	}
	fresh := Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 77, Sequence: 1}}
	if err := observer.HandleMessage(network.now, fresh); err != nil {
		t.Fatal(err)
	}
	if err := observer.HandleMessage(network.now, old); err != nil {
		t.Fatal(err)
	}
	observer.Tick(network.now)
	if v := observer.PeerViews(network.now)[0]; v.State != Alive || v.Incarnation != 77 {
		t.Errorf("view of the new process: %+v", v)
	}
}

// An incarnation is monitored if its heartbeats arrive before and after the feed shows
// its lease, even if the feed shows the lease of another incarnation in between.
func TestHeartbeatBeforeItsLease(t *testing.T) {
	network := newNetwork(3)
	observer := network.controllers[0].detector
	if err := observer.HandleMessage(network.now, Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 9, Sequence: 1}}); err != nil {
		t.Fatal(err)
	}
	observer.SetLease(network.now, "n-1", 8)
	observer.SetLease(network.now, "n-1", 9)
	if err := observer.HandleMessage(network.now, Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 9, Sequence: 2}}); err != nil {
		t.Fatal(err)
	}
	observer.Tick(network.now)
	if v := observer.PeerViews(network.now)[0]; v.State != Alive || v.Incarnation != 9 {
		t.Errorf("%+v", v)
	}
}

// Messages from unknown controllers and malformed messages are dropped with the error of
// their kind.
func TestInvalidMessagesAreDropped(t *testing.T) {
	observer := newNetwork(3).controllers[0].detector
	now := time.Unix(1000, 0)
	many := make([]Accusation, 4)
	for name, c := range map[string]struct {
		m    Message
		want error
	}{
		"unknown controller":      {Message{Controller: "x", Heartbeat: Heartbeat{Incarnation: 1}}, ErrUnknownController},
		"itself":                  {Message{Controller: "n-0", Heartbeat: Heartbeat{Incarnation: 1}}, ErrUnknownController},
		"more accusations":        {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1}, Accusations: many}, ErrMalformedMessage},
		"accusation of nothing":   {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1}, Accusations: []Accusation{{Controller: "n-2", Incarnation: 3}}}, ErrMalformedMessage},
		"many stalled actors":     {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1, Stalled: make([]string, 65)}}, ErrMalformedMessage},
		"an actor's name is long": {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1, Stalled: []string{string(make([]byte, 129))}}}, ErrMalformedMessage},
	} {
		err := observer.HandleMessage(now, c.m)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		var dropped *DroppedMessageError
		if !errors.As(err, &dropped) || dropped.Sender != c.m.Controller {
			t.Errorf("%s: dropped with %#v", name, err)
		}
	}
	if v := observer.PeerViews(now); v[0].Incarnation != 2 || v[0].State != Unmonitored {
		t.Errorf("a dropped message changed the view: %+v", v[0])
	}
}

// An invalid configuration is rejected.
func TestConfigIsChecked(t *testing.T) {
	valid := Config{Self: "a", Controllers: []string{"a", "b"}, HeartbeatInterval: 1, SuspectMin: 2, SuspectMax: 3, DeclareAfter: 4, ProbeTimeout: 1}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		corrupt func(*Config)
		field   string
	}{
		"not a member":                           {func(c *Config) { c.Self = "x" }, "Self"},
		"no interval":                            {func(c *Config) { c.HeartbeatInterval = 0 }, "HeartbeatInterval"},
		"no timeout":                             {func(c *Config) { c.ProbeTimeout = 0 }, "ProbeTimeout"},
		"suspicion as soon as a heartbeat":       {func(c *Config) { c.SuspectMin = 1 }, "SuspectMin"},
		"bounds crossed":                         {func(c *Config) { c.SuspectMax = 1 }, "SuspectMax"},
		"declaration not later than a suspicion": {func(c *Config) { c.DeclareAfter = 2 }, "DeclareAfter"},
	} {
		config := valid
		c.corrupt(&config)
		_, err := New(config, time.Now())
		if !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%s: %v", name, err)
		}
		var invalid *ConfigError
		if !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%s: rejected with %#v", name, err)
		}
	}
}
