// Package detector decides which controllers are suspected and which have failed. It
// evaluates their heartbeats, probe results, the accusations of other controllers and
// the behaviour of workers. It is pure: its input is messages and a monotonic time; its
// output is state changes, probes to be made and the next deadline. It has no authority:
// a controller that is declared failed is only a proposal, which takes effect through a
// compare-and-swap transaction of the key-value store.
package detector

import (
	"slices"
	"time"
)

// ticksPerInterval is the number of times that the detector checks its deadlines within
// a heartbeat interval.
const ticksPerInterval = 4

// Detector monitors the other controllers. It must be used by a single goroutine.
type Detector struct {
	config            Config
	peers             []*peer // by name
	ownHeartbeat      Heartbeat
	refutationPending bool // the latest refutation has not been sent yet
	localHealth       localHealth
	nextTick          time.Time // when Tick is due
	stateChanges      []StateChange
}

// New returns a detector, or a *ConfigError if the configuration is invalid.
func New(config Config, now time.Time) (*Detector, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	d := &Detector{config: config, localHealth: localHealth{changedAt: now}}
	for _, name := range slices.Sorted(slices.Values(config.Controllers)) {
		if name != config.Self {
			d.peers = append(d.peers, newPeer(name, config.HeartbeatInterval))
		}
	}
	return d, nil
}

// peer returns the state of another controller, or nil if no controller of that name is
// configured.
func (d *Detector) peer(name string) *peer {
	for _, p := range d.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// SetIncarnation sets the incarnation of this process; 0 means that the process holds no
// lease.
func (d *Detector) SetIncarnation(incarnation uint64) {
	if incarnation != d.ownHeartbeat.Incarnation {
		d.ownHeartbeat = Heartbeat{Incarnation: incarnation, Sequence: d.ownHeartbeat.Sequence}
	}
}

// SetStalled sets the names of this process's actors that make no progress.
func (d *Detector) SetStalled(actors []string) { d.ownHeartbeat.Stalled = actors }

// SetUnserved records whether workers that were redirected to the given controller
// return to this controller, which shows that the given controller does not serve them.
func (d *Detector) SetUnserved(now time.Time, controller string, unserved bool) {
	if p := d.peer(controller); p != nil {
		setSince(&p.unservedSince, now, unserved)
	}
}

// SetLease records which incarnation of a controller holds its lease; 0 means that no
// incarnation holds it.
func (d *Detector) SetLease(now time.Time, controller string, incarnation uint64) {
	p := d.peer(controller)
	if p == nil || incarnation == p.leaseIncarnation {
		return
	}
	previous := p.leaseIncarnation
	p.leaseIncarnation = incarnation
	p.leaseWasHeld = p.leaseWasHeld || incarnation != 0
	switch {
	case previous == 0:
	case previous == p.latest.Incarnation:
		p.startIncarnation(Heartbeat{}) // unmonitored until the next incarnation's heartbeat
	default: // the next incarnation's heartbeat arrived before the feed showed its lease
		p.retireIncarnation(previous)
	}
}

// Tick checks all deadlines and returns the probes to be made now.
func (d *Detector) Tick(now time.Time) []Probe {
	d.updateLocalHealth(now)
	var probes []Probe
	for _, p := range d.peers {
		probes = append(probes, d.probeIfUnanswered(now, p)...)
	}
	for _, p := range d.peers {
		d.updateState(now, p)
	}
	d.nextTick = now.Add(d.config.HeartbeatInterval / ticksPerInterval)
	return probes
}

// NextTick returns when Tick should be called next.
func (d *Detector) NextTick() time.Time { return d.nextTick }
