package detector

import (
	"fmt"
	"slices"
	"time"
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
	stateChanges  []StateChange
}

// delivery is an action at a later time, such as the arrival of a message or of a
// probe's answer.
type delivery struct {
	at     time.Time
	action func(now time.Time)
}

// simNetwork is a set of controllers on one virtual clock.
type simNetwork struct {
	now             time.Time
	controllers     []*simController
	queue           []delivery
	delay           func(from, to string) (time.Duration, bool)     // false: lost
	readClock       func(c *simController, now time.Time) time.Time // the time that a controller's clock shows; nil: the virtual time
	loseWhilePaused bool                                            // messages to a paused controller are lost, like calls that time out
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

// start sets the clocks of all controllers, with new detectors. It is called before run.
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

// clock returns the time that a controller's clock shows.
func (w *simNetwork) clock(c *simController) time.Time {
	if w.readClock == nil {
		return w.now
	}
	return w.readClock(c, w.now)
}

func (w *simNetwork) isStopped(c *simController) bool { return c.dead || w.now.Before(c.pausedUntil) }

// send delivers a message to another controller. A message that arrives while the
// controller is paused is handled when the controller resumes.
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

// sendHeartbeats sends a heartbeat to all other controllers, which reply with heartbeats
// of their own.
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

// probe carries out a probe, which fails if no answer arrives within testTimeout.
func (w *simNetwork) probe(observer *simController, probe Probe) {
	answered := false
	w.queue = append(w.queue, delivery{w.now.Add(testTimeout), func(time.Time) {
		if !answered && !w.isStopped(observer) {
			observer.detector.HandleProbeResult(w.clock(observer), probe, nil)
		}
	}})
	forward := func(prober *simController, reply func(h Heartbeat)) {
		target := w.find(probe.Target)
		w.send(prober, target, func(time.Time) {
			h := target.detector.NextHeartbeat().Heartbeat
			w.send(target, prober, func(time.Time) { reply(h) })
		})
	}
	done := func(h Heartbeat) {
		answered = true
		observer.detector.HandleProbeResult(w.clock(observer), probe, &h)
	}
	if probe.Via == "" {
		forward(observer, done)
		return
	}
	via := w.find(probe.Via)
	w.send(observer, via, func(time.Time) {
		forward(via, func(h Heartbeat) { w.send(via, observer, func(time.Time) { done(h) }) })
	})
}

func (w *simNetwork) find(name string) *simController {
	return w.controllers[slices.IndexFunc(w.controllers, func(c *simController) bool { return c.name == name })]
}

// run advances the virtual time.
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
			x.action(w.now)
		}
		for _, c := range w.controllers {
			if w.isStopped(c) {
				continue
			}
			if now := w.clock(c); !now.Before(c.detector.NextTick()) {
				for _, p := range c.detector.Tick(now) {
					w.probe(c, p)
				}
				c.stateChanges = append(c.stateChanges, c.detector.TakeStateChanges()...)
			}
			if c.detector.IsRefutationPending() || !w.now.Before(c.nextHeartbeat) {
				c.nextHeartbeat = w.now.Add(testInterval)
				w.sendHeartbeats(c)
			}
		}
	}
}

// reached reports whether a controller was ever in a state in this observer's view.
func (c *simController) reached(node string, to State) bool {
	return slices.ContainsFunc(c.stateChanges, func(x StateChange) bool { return x.Controller == node && x.To == to })
}

func (c *simController) state(now time.Time, node string) State {
	for _, v := range c.detector.PeerViews(now) {
		if v.Controller == node {
			return v.State
		}
	}
	return ""
}
