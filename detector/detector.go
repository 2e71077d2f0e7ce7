// Package detector decides which controllers are suspected and which have failed,
// from their heartbeats, from probes, from what other controllers hold against them
// and from what workers show. It is pure: messages and a monotonic time go in;
// changes of state, probes to be made and the next deadline come out. It decides
// nothing about authority: a failed controller is a proposal, which only a
// conditional write of the state service turns into anything.
package detector

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Config is a detector's configuration.
type Config struct {
	Self        string
	Controllers []string // all configured controllers, Self among them
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// SuspectMin and SuspectMax bound the silence after which a controller that
	// answers no probe is suspected.
	SuspectMin, SuspectMax time.Duration
	// DeclareAfter is how old evidence must be before a controller is declared
	// failed on it.
	DeclareAfter time.Duration
	// ProbeTimeout is after which time without an answer a probe has failed.
	ProbeTimeout time.Duration
}

// ErrInvalidConfig is a configuration that cannot work.
var ErrInvalidConfig = errors.New("detector: bad configuration")

// Validate says what is wrong with a configuration, if anything.
func (c Config) Validate() error {
	switch {
	case !slices.Contains(c.Controllers, c.Self):
		return fmt.Errorf("%w: %q is not a member", ErrInvalidConfig, c.Self)
	case c.HeartbeatInterval <= 0 || c.ProbeTimeout <= 0:
		return fmt.Errorf("%w: interval and probe timeout must be larger than 0", ErrInvalidConfig)
	case c.SuspectMin <= c.HeartbeatInterval:
		return fmt.Errorf("%w: suspicion must take longer than an interval", ErrInvalidConfig)
	case c.SuspectMax < c.SuspectMin:
		return fmt.Errorf("%w: the suspicion's upper bound is below its lower one", ErrInvalidConfig)
	case c.DeclareAfter <= c.SuspectMin:
		return fmt.Errorf("%w: declaration must take longer than suspicion", ErrInvalidConfig)
	}
	return nil
}

// Probe asks the caller to find out whether a controller answers.
type Probe struct {
	Target string
	Via    string // the controller that is asked to probe it; empty: this one does
}

// StateChange is a change of a controller's state, with what it rests on.
type StateChange struct {
	Controller  string
	Incarnation uint64
	From, To    State
	Evidence    []Evidence
	Accusers    []string // controllers with evidence of their own, this one included
}

// RevocationProposal is a controller whose lease lives and that was declared failed.
type RevocationProposal struct {
	Controller  string
	Incarnation uint64
	Evidence    []Evidence
	Accusers    []string
}

// PeerView is the present view of a controller.
type PeerView struct {
	Controller   string
	State        State
	Incarnation  uint64
	Refutation   uint64
	Evidence     []Evidence
	Accusers     []string
	SilentFor    time.Duration
	SilenceLimit time.Duration // silence beyond which it is probed and suspected
}

// Detector watches the other controllers.
type Detector struct {
	config            Config
	peers             []*peer // by name
	ownHeartbeat      Heartbeat
	refutationPending bool // a refutation is to be told at once
	localHealth       localHealth
	nextTick          time.Time // when Tick was due
	stateChanges      []StateChange
}

// New makes a detector of a checked configuration.
func New(cfg Config, now time.Time) (*Detector, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	d := &Detector{config: cfg, localHealth: localHealth{changedAt: now}}
	for _, name := range slices.Sorted(slices.Values(cfg.Controllers)) {
		if name == cfg.Self {
			continue
		}
		d.peers = append(d.peers, &peer{name: name, state: Unmonitored, intervals: intervalStats{expected: cfg.HeartbeatInterval}, accusations: map[string]Accusation{}})
	}
	return d, nil
}

func (d *Detector) peer(name string) *peer {
	for _, p := range d.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// SetIncarnation names the own process; 0: it holds no lease.
func (d *Detector) SetIncarnation(process uint64) {
	if process != d.ownHeartbeat.Incarnation {
		d.ownHeartbeat = Heartbeat{Incarnation: process, Sequence: d.ownHeartbeat.Sequence}
	}
}

// SetStalled names the own actors that make no progress.
func (d *Detector) SetStalled(actors []string) { d.ownHeartbeat.Stalled = actors }

// NextHeartbeat returns the next message to be sent to all others, or as an answer.
func (d *Detector) NextHeartbeat() Message {
	d.ownHeartbeat.Sequence++
	d.refutationPending = false
	m := Message{Controller: d.config.Self, Heartbeat: d.ownHeartbeat}
	for _, p := range d.peers {
		if evidence := p.evidence(); len(evidence) > 0 && p.incarnation() != 0 {
			m.Accusations = append(m.Accusations, Accusation{Controller: p.name, Incarnation: p.incarnation(), Refutation: p.latest.Refutation, Evidence: evidence})
		}
	}
	return m
}

// IsRefutationPending says whether a heartbeat should be sent before the interval has passed,
// because a suspicion is to be refuted.
func (d *Detector) IsRefutationPending() bool { return d.refutationPending }

// HandleMessage takes in a message that another controller sent, or drops it with an error
// that says why. Copies and late messages of an earlier process are dropped without
// one.
func (d *Detector) HandleMessage(now time.Time, m Message) error {
	_, err := d.handleMessage(now, m)
	return err
}

// HandleReply takes in the message that answered one of this controller's own.
func (d *Detector) HandleReply(now time.Time, m Message) error {
	p, err := d.handleMessage(now, m)
	if p != nil {
		p.markAnswered(now)
	}
	return err
}

// handleMessage returns the sender if the message was new.
func (d *Detector) handleMessage(now time.Time, m Message) (*peer, error) {
	p := d.peer(m.Controller)
	if p == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownController, m.Controller)
	}
	if err := m.validate(len(d.config.Controllers)); err != nil {
		return nil, err
	}
	if m.Heartbeat.Incarnation == 0 {
		return nil, nil // it has no lease yet, so nothing depends on it
	}
	if !d.acceptHeartbeat(now, p, m.Heartbeat) {
		return nil, nil
	}
	p.accusations, p.accusationsAt = map[string]Accusation{}, now
	for _, a := range m.Accusations {
		p.accusations[a.Controller] = a
		d.refuteIfAccused(a)
	}
	return p, nil
}

// acceptHeartbeat takes in a heartbeat, and says whether it was new.
func (d *Detector) acceptHeartbeat(now time.Time, p *peer, h Heartbeat) bool {
	before := p.latest.Incarnation
	if !p.accept(h) {
		return false
	}
	switch interval := now.Sub(p.lastSeen); {
	case p.latest.Incarnation != before:
		p.lastAnswer = now // its silences begin here
	case interval <= d.config.SuspectMax:
		p.intervals.observe(interval)
	}
	p.markSeen(now)
	d.updateStalled(now, p)
	return true
}

func (d *Detector) updateStalled(now time.Time, p *peer) {
	switch {
	case len(p.latest.Stalled) == 0:
		p.stalledSince = time.Time{}
	case p.stalledSince.IsZero():
		p.stalledSince = now
	}
}

// refuteIfAccused answers an accusation of this controller's own silence.
func (d *Detector) refuteIfAccused(a Accusation) {
	if a.Controller != d.config.Self || a.Incarnation != d.ownHeartbeat.Incarnation || a.Refutation < d.ownHeartbeat.Refutation {
		return
	}
	if !slices.Contains(a.Evidence, Unreachable) {
		return
	}
	d.ownHeartbeat.Refutation = a.Refutation + 1
	d.refutationPending = true
}

// HandleProbeResult takes in what came of a probe; no heartbeat means that it failed.
func (d *Detector) HandleProbeResult(now time.Time, made Probe, answer *Heartbeat) {
	p := d.peer(made.Target)
	if p == nil {
		return
	}
	if answer == nil {
		if made.Via == "" {
			p.probing.directFailed = p.probing.directSent
		} else {
			delete(p.probing.pendingVia, made.Via)
		}
		return
	}
	if answer.Incarnation != 0 && d.acceptHeartbeat(now, p, *answer) {
		p.markAnswered(now)
	}
}

// SetUnserved says whether workers that were sent to a controller come back to
// this one.
func (d *Detector) SetUnserved(now time.Time, node string, unserved bool) {
	p := d.peer(node)
	switch {
	case p == nil:
	case !unserved:
		p.unservedSince = time.Time{}
	case p.unservedSince.IsZero():
		p.unservedSince = now
	}
}

// SetLease says which process holds a controller's lease; 0: none.
func (d *Detector) SetLease(now time.Time, node string, process uint64) {
	p := d.peer(node)
	if p == nil || process == p.leaseHolder {
		return
	}
	ended := p.leaseHolder
	p.leaseHolder = process
	p.leaseWasHeld = p.leaseWasHeld || process != 0
	switch {
	case ended == 0:
	case ended == p.latest.Incarnation:
		p.startIncarnation(Heartbeat{}) // unmonitored until the new process is heard
	default: // a later process was heard before the state service showed its lease
		p.retireIncarnation(ended)
	}
}

// Tick looks at all deadlines and returns the probes to be made now.
func (d *Detector) Tick(now time.Time) []Probe {
	d.updateLocalHealth(now)
	var probes []Probe
	for _, p := range d.peers {
		probes = append(probes, d.probeIfSilent(now, p)...)
	}
	for _, p := range d.peers {
		d.updateState(now, p)
	}
	d.nextTick = now.Add(d.config.HeartbeatInterval / 4)
	return probes
}

// NextTick is when Tick should be called next.
func (d *Detector) NextTick() time.Time { return d.nextTick }

// updateLocalHealth finds out whether this observer is in a state to accuse others.
func (d *Detector) updateLocalHealth(now time.Time) {
	late := time.Duration(0)
	if !d.nextTick.IsZero() {
		late = now.Sub(d.nextTick)
	}
	if late >= d.config.HeartbeatInterval { // it stood still, and could have heard nobody
		for _, p := range d.peers {
			p.shiftTimestamps(late)
		}
	}
	if late > d.config.HeartbeatInterval/2 || d.isIsolated(now) {
		d.localHealth.worsen(now, d.config.HeartbeatInterval)
		return
	}
	d.localHealth.recover(now, d.config.HeartbeatInterval)
}

// isIsolated says that every monitored controller with a lease is silent, two of
// them at least: it may well be this one that is cut off.
func (d *Detector) isIsolated(now time.Time) bool {
	silent := 0
	for _, p := range d.peers {
		if !p.isMonitored() || p.leaseHolder == 0 {
			continue
		}
		if now.Sub(p.lastSeen) <= d.config.SuspectMin {
			return false
		}
		silent++
	}
	return silent >= 2
}

// suspicionTimeout is the silence beyond which a controller is suspected.
func (d *Detector) suspicionTimeout(p *peer) time.Duration {
	adapted := min(max(p.intervals.silenceThreshold(), d.config.SuspectMin), d.config.SuspectMax)
	return d.localHealth.scale(adapted)
}

// probeIfSilent probes a controller that has answered nothing for unusually long, first
// directly and then through others, and holds it against it when its bound has passed
// and none was answered.
func (d *Detector) probeIfSilent(now time.Time, p *peer) []Probe {
	if !p.isMonitored() || p.leaseHolder == 0 {
		return nil
	}
	bound := d.suspicionTimeout(p)
	unanswered := now.Sub(p.lastAnswer)
	if unanswered <= bound/2 {
		return nil
	}
	var out []Probe
	s := &p.probing
	if s.isExhausted() && now.Sub(s.startedAt) > bound {
		*s = probeRound{} // another round
	}
	if !s.directSent {
		s.startedAt, s.directSent = now, true
		out = append(out, Probe{Target: p.name})
	}
	d.expireProbes(now, s)
	if s.directFailed && !s.indirectSent {
		out = append(out, d.startIndirectProbes(now, p)...)
	}
	if s.isExhausted() && unanswered > bound {
		d.recordSilence(now, p, bound)
	}
	return out
}

// recordSilence holds unanswered probes against a controller, and its silence if it is silent
// as well.
func (d *Detector) recordSilence(now time.Time, p *peer, bound time.Duration) {
	if now.Sub(p.lastSeen) > bound {
		if p.unreachableSince.IsZero() {
			p.unreachableSince = p.lastSeen
		}
		return
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = p.lastAnswer
	}
}

// expireProbes counts probes as failed that took too long.
func (d *Detector) expireProbes(now time.Time, s *probeRound) {
	if now.Sub(s.startedAt) < d.config.ProbeTimeout {
		return
	}
	if s.indirectSent {
		clear(s.pendingVia)
		return
	}
	s.directFailed = true
}

// startIndirectProbes asks all others that are heard to probe a controller.
func (d *Detector) startIndirectProbes(now time.Time, p *peer) []Probe {
	s := &p.probing
	s.indirectSent, s.startedAt, s.pendingVia = true, now, map[string]bool{}
	var out []Probe
	for _, other := range d.peers {
		if other != p && other.isMonitored() && now.Sub(other.lastSeen) <= d.suspicionTimeout(other) {
			s.pendingVia[other.name] = true
			out = append(out, Probe{Target: p.name, Via: other.name})
		}
	}
	return out
}

// accusers lists the controllers that hold evidence of their own against a
// controller's process, and says whether any of it is about work.
func (d *Detector) accusers(now time.Time, p *peer) (names []string, aboutWork bool) {
	own := Accusation{Incarnation: p.incarnation(), Refutation: p.latest.Refutation, Evidence: p.evidence()}
	if len(own.Evidence) > 0 {
		names = append(names, d.config.Self)
		aboutWork = own.isAboutWork()
	}
	for _, other := range d.peers {
		a, ok := other.accusations[p.name]
		if other == p || !ok || a.Incarnation != p.incarnation() || now.Sub(other.accusationsAt) > d.suspicionTimeout(other) {
			continue
		}
		if refuted := a.Refutation < p.latest.Refutation && a.isRefutable(); refuted {
			continue
		}
		names = append(names, other.name)
		aboutWork = aboutWork || a.isAboutWork()
	}
	slices.Sort(names)
	return names, aboutWork
}

// quorum is how many accusers declare a controller failed: a majority of all
// configured controllers, whether they live or not.
func (d *Detector) quorum() int { return len(d.config.Controllers)/2 + 1 }

// updateState moves a controller to the state that the evidence gives it.
func (d *Detector) updateState(now time.Time, p *peer) {
	to, evidence := d.evaluate(now, p)
	if to == p.state {
		return
	}
	names, _ := d.accusers(now, p)
	d.stateChanges = append(d.stateChanges, StateChange{Controller: p.name, Incarnation: p.lastIncarnation(), From: p.state, To: to, Evidence: evidence, Accusers: names})
	p.state = to
	p.suspectSince = time.Time{}
	if to == Suspect {
		p.suspectSince = now
	}
}

func (d *Detector) evaluate(now time.Time, p *peer) (State, []Evidence) {
	if p.leaseHolder == 0 && p.leaseWasHeld {
		return Failed, []Evidence{LeaseLost}
	}
	if !p.isMonitored() {
		return Unmonitored, nil
	}
	evidence := p.evidence()
	if len(evidence) == 0 {
		return Alive, nil
	}
	if p.state == Failed || d.shouldDeclareFailed(now, p) {
		return Failed, evidence
	}
	return Suspect, evidence
}

// shouldDeclareFailed says whether a suspect is to be declared failed though its lease lives.
func (d *Detector) shouldDeclareFailed(now time.Time, p *peer) bool {
	if p.state != Suspect || now.Sub(p.suspectSince) < d.config.HeartbeatInterval {
		return false
	}
	if now.Sub(p.evidenceSince()) < d.localHealth.scale(d.config.DeclareAfter) {
		return false
	}
	names, aboutWork := d.accusers(now, p)
	return aboutWork && len(names) >= d.quorum()
}

// TakeStateChanges returns the changes of state since it was last called.
func (d *Detector) TakeStateChanges() []StateChange {
	out := d.stateChanges
	d.stateChanges = nil
	return out
}

// Proposals lists the controllers that are declared failed while their lease
// lives.
func (d *Detector) Proposals(now time.Time) []RevocationProposal {
	var out []RevocationProposal
	for _, p := range d.peers {
		if p.state != Failed || p.leaseHolder == 0 || p.leaseHolder != p.incarnation() {
			continue
		}
		names, aboutWork := d.accusers(now, p)
		if !aboutWork || len(names) < d.quorum() {
			continue // others took back what they held against it
		}
		out = append(out, RevocationProposal{Controller: p.name, Incarnation: p.incarnation(), Evidence: p.evidence(), Accusers: names})
	}
	return out
}

// PeerViews describes all other controllers, by name.
func (d *Detector) PeerViews(now time.Time) []PeerView {
	var out []PeerView
	for _, p := range d.peers {
		names, _ := d.accusers(now, p)
		v := PeerView{Controller: p.name, State: p.state, Incarnation: p.incarnation(), Refutation: p.latest.Refutation, Evidence: p.evidence(), Accusers: names, SilenceLimit: d.suspicionTimeout(p)}
		if p.isMonitored() && !p.lastSeen.IsZero() {
			v.SilentFor = now.Sub(p.lastSeen)
		}
		out = append(out, v)
	}
	return out
}
