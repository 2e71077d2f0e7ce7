package detector

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

const (
	testInterval = time.Second
	testStep     = 50 * time.Millisecond
	testTimeout  = time.Second
)

// simController is one simulated controller with its detector.
type simController struct {
	name          string
	detector      *Detector
	nextHeartbeat time.Time
	pausedUntil   time.Time
	dead          bool
	history       []StateChange
}

// delivery is a message or a probe's answer on its way.
type delivery struct {
	at  time.Time
	act func(now time.Time)
}

// simNetwork is a set of controllers on one virtual clock.
type simNetwork struct {
	now             time.Time
	controllers     []*simController
	queue           []delivery
	delay           func(from, to string) (time.Duration, bool)     // false: lost
	readClock       func(c *simController, now time.Time) time.Time // what a controller's clock shows; nil: the time
	loseWhilePaused bool                                            // what comes to a paused controller is lost, as calls are that time out
}

func newNetwork(n int) *simNetwork {
	w := &simNetwork{now: time.Unix(1000, 0), delay: func(string, string) (time.Duration, bool) { return 5 * time.Millisecond, true }}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	for i, name := range names {
		cfg := Config{Self: name, Controllers: names, HeartbeatInterval: testInterval, SuspectMin: 2500 * time.Millisecond, SuspectMax: 8 * time.Second,
			DeclareAfter: 5 * time.Second, ProbeTimeout: testTimeout}
		d, err := New(cfg, w.now)
		if err != nil {
			panic(err)
		}
		d.SetIncarnation(uint64(i + 1))
		for k, other := range names {
			d.SetLease(w.now, other, uint64(k+1))
		}
		w.controllers = append(w.controllers, &simController{name: name, detector: d, nextHeartbeat: w.now.Add(time.Duration(i) * 100 * time.Millisecond)})
	}
	return w
}

// start sets all clocks, before anything has happened.
func (w *simNetwork) start(now time.Time) {
	w.now = now
	for i, c := range w.controllers {
		c.nextHeartbeat = now.Add(time.Duration(i) * 100 * time.Millisecond)
		d, err := New(c.detector.config, now)
		if err != nil {
			panic(err)
		}
		d.SetIncarnation(uint64(i + 1))
		for k, other := range w.controllers {
			d.SetLease(now, other.name, uint64(k+1))
		}
		c.detector = d
	}
}

// clock is what a controller's clock shows.
func (w *simNetwork) clock(c *simController) time.Time {
	if w.readClock == nil {
		return w.now
	}
	return w.readClock(c, w.now)
}

func (w *simNetwork) stopped(c *simController) bool { return c.dead || w.now.Before(c.pausedUntil) }

// send lets something happen at another controller; what comes while it is paused
// happens when it goes on.
func (w *simNetwork) send(from, to *simController, act func(now time.Time)) {
	d, arrives := w.delay(from.name, to.name)
	if !arrives {
		return
	}
	w.queue = append(w.queue, delivery{w.now.Add(d), func(now time.Time) {
		if to.dead || w.loseWhilePaused && now.Before(to.pausedUntil) {
			return
		}
		if now.Before(to.pausedUntil) {
			w.queue = append(w.queue, delivery{to.pausedUntil, act})
			return
		}
		act(now)
	}})
}

// sendHeartbeats sends a heartbeat to everybody, whose answers are heartbeats as well.
func (w *simNetwork) sendHeartbeats(c *simController) {
	m := c.detector.NextHeartbeat()
	for _, to := range w.controllers {
		if to == c {
			continue
		}
		w.send(c, to, func(time.Time) {
			_ = to.detector.HandleMessage(w.clock(to), m)
			answer := to.detector.NextHeartbeat()
			w.send(to, c, func(time.Time) { _ = c.detector.HandleReply(w.clock(c), answer) })
		})
	}
}

// probe carries out a probe; without an answer in time it fails.
func (w *simNetwork) probe(c *simController, p Probe) {
	answered := false
	w.queue = append(w.queue, delivery{w.now.Add(testTimeout), func(time.Time) {
		if !answered && !w.stopped(c) {
			c.detector.HandleProbeResult(w.clock(c), p, nil)
		}
	}})
	ask := func(asker *simController, tell func(now time.Time, h Heartbeat)) {
		target := w.find(p.Target)
		w.send(asker, target, func(time.Time) {
			h := target.detector.NextHeartbeat().Heartbeat
			w.send(target, asker, func(now time.Time) { tell(now, h) })
		})
	}
	done := func(_ time.Time, h Heartbeat) { answered = true; c.detector.HandleProbeResult(w.clock(c), p, &h) }
	if p.Via == "" {
		ask(c, done)
		return
	}
	via := w.find(p.Via)
	w.send(c, via, func(time.Time) {
		ask(via, func(_ time.Time, h Heartbeat) { w.send(via, c, func(now time.Time) { done(now, h) }) })
	})
}

func (w *simNetwork) find(name string) *simController {
	return w.controllers[slices.IndexFunc(w.controllers, func(c *simController) bool { return c.name == name })]
}

// run lets time pass.
func (w *simNetwork) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testStep) {
		due := slices.Collect(func(yield func(delivery) bool) {
			for _, x := range w.queue {
				if !x.at.After(w.now) && !yield(x) {
					return
				}
			}
		})
		w.queue = slices.DeleteFunc(w.queue, func(x delivery) bool { return !x.at.After(w.now) })
		for _, x := range due {
			x.act(w.now)
		}
		for _, c := range w.controllers {
			if w.stopped(c) {
				continue
			}
			if now := w.clock(c); !now.Before(c.detector.NextTick()) {
				for _, p := range c.detector.Tick(now) {
					w.probe(c, p)
				}
				c.history = append(c.history, c.detector.TakeStateChanges()...)
			}
			if c.detector.IsRefutationPending() || !w.now.Before(c.nextHeartbeat) {
				c.nextHeartbeat = w.now.Add(testInterval)
				w.sendHeartbeats(c)
			}
		}
	}
}

// reached says whether an observer ever took a controller for this.
func (c *simController) reached(node string, to State) bool {
	return slices.ContainsFunc(c.history, func(x StateChange) bool { return x.Controller == node && x.To == to })
}

func (c *simController) state(now time.Time, node string) State {
	for _, v := range c.detector.PeerViews(now) {
		if v.Controller == node {
			return v.State
		}
	}
	return ""
}

// A live controller whose messages are delayed within a bound is never suspected,
// let alone declared failed, however the delays fall; observers that stand still
// for a while accuse nobody for it, either.
func TestLiveControllerIsNeverSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		w := newNetwork(n)
		w.delay = func(string, string) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond, true
		}
		w.loseWhilePaused = rapid.Bool().Draw(t, "what comes in a pause is lost")
		w.run(3 * time.Second)
		observer := w.controllers[rapid.IntRange(0, n-1).Draw(t, "observer")]
		for range rapid.IntRange(0, 2).Draw(t, "pauses") {
			pause := time.Duration(rapid.IntRange(200, 20000).Draw(t, "pause")) * time.Millisecond
			observer.pausedUntil = w.now.Add(pause)
			w.run(pause + 4*time.Second)
		}
		w.run(10 * time.Second)
		for _, node := range w.controllers {
			if node != observer && observer.reached(node.name, Suspect) {
				t.Errorf("%s, which was late itself, suspected %s: %+v", observer.name, node.name, observer.history)
			}
			for _, c := range w.controllers {
				if c == observer || c == node {
					continue
				}
				if node != observer && c.reached(node.name, Suspect) || c.reached(node.name, Failed) {
					t.Errorf("%s accused %s: %+v", c.name, node.name, c.history)
				}
			}
		}
	})
}

// A controller whose work stands still is declared failed by every other one within
// a bounded time, whether or not its heartbeats still come, and never by fewer than
// a majority.
func TestFailedControllerIsDeclaredInTime(t *testing.T) {
	const bound = 25 * time.Second
	// The silence may have begun an interval before the links went down.
	const beforeDeclaration = 5*time.Second - testInterval - 200*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		w := newNetwork(n)
		w.run(5 * time.Second)
		failed := w.controllers[rapid.IntRange(0, n-1).Draw(t, "failed")]
		kind := rapid.SampledFrom([]Evidence{Stalled, Unserved}).Draw(t, "kind")
		if kind == Stalled {
			failed.detector.SetStalled([]string{"owner of a"})
		} else {
			w.delay = func(from, to string) (time.Duration, bool) {
				return 5 * time.Millisecond, from != failed.name && to != failed.name
			}
			for _, c := range w.controllers {
				c.detector.SetUnserved(w.now, failed.name, rapid.Bool().Draw(t, "sees its workers") || c == w.controllers[0] || c == w.controllers[1])
			}
		}
		w.run(beforeDeclaration)
		for _, c := range w.controllers {
			if c.reached(failed.name, Failed) {
				t.Errorf("%s: declared before its time by %s", kind, c.name)
			}
		}
		w.run(bound - 4500*time.Millisecond)
		for _, c := range w.controllers {
			if c != failed && (c.state(w.now, failed.name) != Failed || len(c.detector.Proposals(w.now)) != 1) {
				t.Errorf("%s: %s is %s for %s", kind, failed.name, c.state(w.now, failed.name), c.name)
			}
		}
	})
}

// Evidence that is gone counts no more, not even for a controller that was declared
// failed on it: who returns before it was replaced is left alone.
func TestReturnWithdrawsProposal(t *testing.T) {
	w := newNetwork(3)
	w.run(3 * time.Second)
	unserved := func(is bool) {
		for _, c := range w.controllers[:2] {
			c.detector.SetUnserved(w.now, "n-2", is)
		}
		w.run(9 * time.Second)
	}
	unserved(true)
	if d := w.controllers[0].detector; len(d.Proposals(w.now)) != 1 {
		t.Fatalf("not proposed: %+v", d.PeerViews(w.now))
	}
	w.controllers[1].detector.SetUnserved(w.now, "n-2", false)
	w.run(3 * time.Second)
	if d := w.controllers[0].detector; len(d.Proposals(w.now)) != 0 {
		t.Errorf("proposed without a majority: %+v", d.PeerViews(w.now))
	}
	unserved(false)
	if d := w.controllers[0].detector; len(d.Proposals(w.now)) != 0 || w.controllers[0].state(w.now, "n-2") != Alive {
		t.Errorf("still held against it: %+v", d.PeerViews(w.now))
	}
}

// An observer that stood still does not count that time against others.
func TestPauseDoesNotAgeEvidence(t *testing.T) {
	w := newNetwork(3)
	w.loseWhilePaused = true
	w.run(3 * time.Second)
	observer := w.controllers[0]
	for _, c := range w.controllers[:2] {
		c.detector.SetUnserved(w.now, "n-2", true)
	}
	w.run(2 * time.Second)
	observer.pausedUntil = w.now.Add(8 * time.Second)
	w.run(10 * time.Second)
	if observer.reached("n-2", Failed) {
		t.Errorf("declared on evidence that it had for 4 s: %+v", observer.history)
	}
	if other := w.controllers[1]; !other.reached("n-2", Suspect) {
		t.Errorf("the other one suspects nobody: %+v", other.history)
	}
}

// The bound on silence follows the observed heartbeats, within its limits.
func TestBoundAdapts(t *testing.T) {
	w := newNetwork(3)
	w.run(20 * time.Second)
	bound := func() time.Duration { return w.controllers[0].detector.PeerViews(w.now)[0].SilenceLimit }
	if usual := bound(); usual < 2500*time.Millisecond || usual >= 3*time.Second {
		t.Errorf("%s where none is lost", usual)
	}
	irregular := 0
	w.delay = func(string, string) (time.Duration, bool) {
		irregular++
		return 5 * time.Millisecond, irregular%7 < 3
	}
	w.run(60 * time.Second)
	if adapted := bound(); adapted <= 3*time.Second || adapted > 8*time.Second {
		t.Errorf("%s where more than half of them are lost", adapted)
	}
}

// An observer that hears nobody doubts itself, and stops doubting when it hears
// others again.
func TestLonelyObserverDoubtsItself(t *testing.T) {
	w := newNetwork(5)
	w.run(5 * time.Second)
	bound := func() time.Duration { return w.controllers[0].detector.PeerViews(w.now)[0].SilenceLimit }
	usual := bound()
	w.delay = func(from, to string) (time.Duration, bool) {
		return 5 * time.Millisecond, from != "n-0" && to != "n-0"
	}
	w.run(20 * time.Second)
	if bound() < 4*usual {
		t.Errorf("alone for 20 s it would suspect after %s, before after %s", bound(), usual)
	}
	w.delay = func(string, string) (time.Duration, bool) { return 5 * time.Millisecond, true }
	w.run(20 * time.Second)
	if bound() > usual+usual/4 {
		t.Errorf("among others again it suspects only after %s", bound())
	}
}

// However many controllers of a minority hold whatever against a live one, and
// however many cannot reach it, it is not declared failed without a majority that
// knows something of its work.
func TestNobodyIsDeclaredWithoutMajorityAndWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers")
		w := newNetwork(n)
		w.run(5 * time.Second)
		target := w.controllers[n-1]
		minority := n / 2
		onlyLinks := rapid.Bool().Draw(t, "only links")
		if onlyLinks { // everybody loses it, nobody has seen its work
			w.delay = func(from, to string) (time.Duration, bool) {
				return 5 * time.Millisecond, from != target.name && to != target.name
			}
		} else {
			for _, c := range w.controllers[:minority] {
				c.detector.SetUnserved(w.now, target.name, true)
			}
		}
		w.run(40 * time.Second)
		for _, c := range w.controllers[:n-1] {
			if c.reached(target.name, Failed) || len(c.detector.Proposals(w.now)) > 0 {
				t.Errorf("only links %v: %s declared it: %+v", onlyLinks, c.name, c.history)
			}
			if onlyLinks && c.state(w.now, target.name) != Suspect {
				t.Errorf("%s does not suspect a controller that nobody reaches", c.name)
			}
		}
	})
}

// A link that is down while another controller still reaches the silent one raises
// no suspicion.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	w := newNetwork(3)
	w.run(5 * time.Second)
	w.delay = func(from, to string) (time.Duration, bool) {
		cut := from == "n-0" && to == "n-2" || from == "n-2" && to == "n-0"
		return 5 * time.Millisecond, !cut
	}
	w.run(60 * time.Second)
	if w.controllers[0].reached("n-2", Suspect) || w.controllers[2].reached("n-0", Suspect) {
		t.Errorf("suspected across a link that is down: %+v, %+v", w.controllers[0].history, w.controllers[2].history)
	}
	if v := w.controllers[0].detector.PeerViews(w.now); v[1].SilentFor > 8*time.Second {
		t.Errorf("no probe proved it: %+v", v[1])
	}
}

// A controller whose own heartbeats come, while it answers nobody, is suspected for
// that by everybody, whatever it says; one that still answers another is not.
func TestUnansweredCallsAreHeldAgainstIt(t *testing.T) {
	for _, answersOne := range []bool{false, true} {
		w := newNetwork(3)
		w.run(5 * time.Second)
		w.delay = func(from, to string) (time.Duration, bool) {
			lost := to == "n-2" && !(answersOne && from == "n-1")
			return 5 * time.Millisecond, !lost
		}
		w.run(30 * time.Second)
		for _, c := range w.controllers[:2] {
			v := c.detector.PeerViews(w.now)[1]
			if answersOne != (v.State == Alive) || !answersOne && !slices.Equal(v.Evidence, []Evidence{Unanswered}) {
				t.Errorf("it answers one: %v, and %s sees %+v", answersOne, c.name, v)
			}
			if c.reached("n-2", Failed) {
				t.Errorf("%s declared it failed for links alone", c.name)
			}
		}
	}
}

// Whatever the losses were, once messages come through again no suspicion of
// silence stays, and a suspicion that was refuted is gone before.
func TestRefutedSuspicionIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers")
		w := newNetwork(n)
		w.run(5 * time.Second)
		loss := rapid.IntRange(10, 100).Draw(t, "loss")
		w.delay = func(string, string) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond, rapid.IntRange(1, 100).Draw(t, "lost") > loss
		}
		w.run(time.Duration(rapid.IntRange(5, 30).Draw(t, "seconds")) * time.Second)
		w.delay = func(string, string) (time.Duration, bool) { return 5 * time.Millisecond, true }
		w.run(5 * time.Second)
		for _, c := range w.controllers {
			for _, v := range c.detector.PeerViews(w.now) {
				if v.State != Alive || len(v.Accusers) > 0 {
					t.Errorf("%s still holds against %s: %+v", c.name, v.Controller, v)
				}
			}
		}
	})
}

// A suspect that hears of it raises its refutation, and an accusation from before
// counts no more, even where it is repeated.
func TestSuspectRefutes(t *testing.T) {
	w := newNetwork(3)
	w.run(3 * time.Second)
	suspect, accuser, third := w.controllers[0].detector, w.controllers[1].detector, w.controllers[2].detector
	accusation := Accusation{Controller: "n-0", Incarnation: 1, Evidence: []Evidence{Unreachable}}
	m := accuser.NextHeartbeat()
	m.Accusations = []Accusation{accusation}
	if err := suspect.HandleMessage(w.now, m); err != nil || !suspect.IsRefutationPending() {
		t.Fatalf("err %v, refutes at once: %v", err, suspect.IsRefutationPending())
	}
	if err := third.HandleMessage(w.now, suspect.NextHeartbeat()); err != nil {
		t.Fatal(err)
	}
	m = accuser.NextHeartbeat()
	m.Accusations = []Accusation{accusation}
	if err := third.HandleMessage(w.now, m); err != nil {
		t.Fatal(err)
	}
	if v := third.PeerViews(w.now)[0]; v.Refutation != 1 || len(v.Accusers) != 0 {
		t.Errorf("the refuted accusation counts: %+v", v)
	}
	m.Heartbeat.Sequence++
	m.Accusations[0].Evidence = []Evidence{Unserved}
	if err := third.HandleMessage(w.now, m); err != nil {
		t.Fatal(err)
	}
	if v := third.PeerViews(w.now)[0]; len(v.Accusers) != 1 {
		t.Errorf("evidence about work was refuted by a word: %+v", v)
	}
}

// Heartbeats of an earlier process, doubled and late ones prove nothing, and the end
// of a lease decides at once.
func TestOldProcessProvesNothing(t *testing.T) {
	w := newNetwork(3)
	w.run(3 * time.Second)
	d := w.controllers[0].detector
	old := w.controllers[1].detector.NextHeartbeat()
	for _, copies := range []int{1, 2} {
		if err := d.HandleMessage(w.now, old); err != nil {
			t.Fatal(copies, err)
		}
	}
	copied := w.now.Add(2 * time.Second)
	if err := d.HandleMessage(copied, old); err != nil || d.PeerViews(copied)[0].SilentFor < 2*time.Second {
		t.Errorf("a copy counted as a heartbeat: %v, %+v", err, d.PeerViews(copied)[0])
	}
	d.SetLease(w.now, "n-1", 0)
	d.Tick(w.now)
	if s := w.controllers[0].state(w.now, "n-1"); s != Failed {
		t.Errorf("without its lease it is %s", s)
	}
	d.SetLease(w.now, "n-1", 77)
	old.Heartbeat.Sequence += 10
	if err := d.HandleMessage(w.now, old); err != nil {
		t.Fatal(err)
	}
	d.Tick(w.now)
	if v := d.PeerViews(w.now)[0]; v.State != Unmonitored || v.Incarnation != 77 {
		t.Errorf("a late heartbeat of the old process counted: %+v", v)
	}
	fresh := Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 77, Sequence: 1}}
	if err := d.HandleMessage(w.now, fresh); err != nil {
		t.Fatal(err)
	}
	if err := d.HandleMessage(w.now, old); err != nil {
		t.Fatal(err)
	}
	d.Tick(w.now)
	if v := d.PeerViews(w.now)[0]; v.State != Alive || v.Incarnation != 77 {
		t.Errorf("the new process is %+v", v)
	}
}

// A process that is heard before the state service shows its lease, and again after
// one between them, is monitored.
func TestProcessHeardBeforeItsLease(t *testing.T) {
	w := newNetwork(3)
	d := w.controllers[0].detector
	if err := d.HandleMessage(w.now, Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 9, Sequence: 1}}); err != nil {
		t.Fatal(err)
	}
	d.SetLease(w.now, "n-1", 8)
	d.SetLease(w.now, "n-1", 9)
	if err := d.HandleMessage(w.now, Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 9, Sequence: 2}}); err != nil {
		t.Fatal(err)
	}
	d.Tick(w.now)
	if v := d.PeerViews(w.now)[0]; v.State != Alive || v.Incarnation != 9 {
		t.Errorf("%+v", v)
	}
}

// Messages of strangers and malformed ones are refused with an error of their kind.
func TestBadMessagesAreDropped(t *testing.T) {
	d := newNetwork(3).controllers[0].detector
	now := time.Unix(1000, 0)
	many := make([]Accusation, 4)
	for name, c := range map[string]struct {
		m    Message
		want error
	}{
		"stranger":                {Message{Controller: "x", Heartbeat: Heartbeat{Incarnation: 1}}, ErrUnknownController},
		"itself":                  {Message{Controller: "n-0", Heartbeat: Heartbeat{Incarnation: 1}}, ErrUnknownController},
		"more accusations":        {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1}, Accusations: many}, ErrMalformedMessage},
		"accusation of nothing":   {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1}, Accusations: []Accusation{{Controller: "n-2", Incarnation: 3}}}, ErrMalformedMessage},
		"many stalled actors":     {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1, Stalled: make([]string, 65)}}, ErrMalformedMessage},
		"an actor's name is long": {Message{Controller: "n-1", Heartbeat: Heartbeat{Incarnation: 1, Stalled: []string{string(make([]byte, 129))}}}, ErrMalformedMessage},
	} {
		if err := d.HandleMessage(now, c.m); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if v := d.PeerViews(now); v[0].Incarnation != 2 || v[0].State != Unmonitored {
		t.Errorf("a dropped message left a trace: %+v", v[0])
	}
}

// A configuration that cannot work is refused.
func TestConfigIsChecked(t *testing.T) {
	good := Config{Self: "a", Controllers: []string{"a", "b"}, HeartbeatInterval: 1, SuspectMin: 2, SuspectMax: 3, DeclareAfter: 4, ProbeTimeout: 1}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Config){
		"not a member":                           func(c *Config) { c.Self = "x" },
		"no interval":                            func(c *Config) { c.HeartbeatInterval = 0 },
		"no timeout":                             func(c *Config) { c.ProbeTimeout = 0 },
		"suspicion as soon as a heartbeat":       func(c *Config) { c.SuspectMin = 1 },
		"bounds crossed":                         func(c *Config) { c.SuspectMax = 1 },
		"declaration not later than a suspicion": func(c *Config) { c.DeclareAfter = 2 },
	} {
		c := good
		spoil(&c)
		if _, err := New(c, time.Now()); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
