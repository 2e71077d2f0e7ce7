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
	Self    string
	Members []string // all configured controllers, Self among them
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// SuspectMin and SuspectMax bound the silence after which a controller that
	// answers no probe is suspected.
	SuspectMin, SuspectMax time.Duration
	// DeclareAfter is how old evidence must be before a controller is declared
	// failed on it.
	DeclareAfter time.Duration
	// ProbeTimeout is after which time without an answer a probe has failed.
	ProbeTimeout time.Duration
}

// ErrConfig is a configuration that cannot work.
var ErrConfig = errors.New("detector: bad configuration")

// Check says what is wrong with a configuration, if anything.
func (c Config) Check() error {
	switch {
	case !slices.Contains(c.Members, c.Self):
		return fmt.Errorf("%w: %q is not a member", ErrConfig, c.Self)
	case c.Interval <= 0 || c.ProbeTimeout <= 0:
		return fmt.Errorf("%w: interval and probe timeout must be larger than 0", ErrConfig)
	case c.SuspectMin <= c.Interval:
		return fmt.Errorf("%w: suspicion must take longer than an interval", ErrConfig)
	case c.SuspectMax < c.SuspectMin:
		return fmt.Errorf("%w: the suspicion's upper bound is below its lower one", ErrConfig)
	case c.DeclareAfter <= c.SuspectMin:
		return fmt.Errorf("%w: declaration must take longer than suspicion", ErrConfig)
	}
	return nil
}

// Probe asks the caller to find out whether a controller answers.
type Probe struct {
	Target string
	Via    string // the controller that is asked to probe it; empty: this one does
}

// Change is a change of a controller's state, with what it rests on.
type Change struct {
	Controller string
	Process    uint64
	From, To   State
	Evidence   []Evidence
	Accusers   []string // controllers with evidence of their own, this one included
}

// Proposal is a controller whose lease lives and that was declared failed.
type Proposal struct {
	Controller string
	Process    uint64
	Evidence   []Evidence
	Accusers   []string
}

// View is the present view of a controller.
type View struct {
	Controller   string
	State        State
	Process      uint64
	Refutation   uint64
	Evidence     []Evidence
	Accusers     []string
	SilentFor    time.Duration
	SilenceLimit time.Duration // silence beyond which it is probed and suspected
}

// Detector watches the other controllers.
type Detector struct {
	cfg     Config
	peers   []*peer // by name
	own     Heartbeat
	beatNow bool // a refutation is to be told at once
	health  localHealth
	next    time.Time // when Tick was due
	changes []Change
}

// New makes a detector of a checked configuration.
func New(cfg Config, now time.Time) (*Detector, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d := &Detector{cfg: cfg, health: localHealth{changedAt: now}}
	for _, name := range slices.Sorted(slices.Values(cfg.Members)) {
		if name == cfg.Self {
			continue
		}
		d.peers = append(d.peers, &peer{name: name, state: Unmonitored, intervals: intervals{expected: cfg.Interval}, opinion: map[string]Accusation{}})
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

// SetProcess names the own process; 0: it holds no lease.
func (d *Detector) SetProcess(process uint64) {
	if process != d.own.Process {
		d.own = Heartbeat{Process: process, Sequence: d.own.Sequence}
	}
}

// SetStalled names the own actors that make no progress.
func (d *Detector) SetStalled(actors []string) { d.own.Stalled = actors }

// Heartbeat returns the next message to be sent to all others, or as an answer.
func (d *Detector) Heartbeat() Message {
	d.own.Sequence++
	d.beatNow = false
	m := Message{Controller: d.cfg.Self, Heartbeat: d.own}
	for _, p := range d.peers {
		if evidence := p.evidence(); len(evidence) > 0 && p.process() != 0 {
			m.Accusations = append(m.Accusations, Accusation{Controller: p.name, Process: p.process(), Refutation: p.latest.Refutation, Evidence: evidence})
		}
	}
	return m
}

// HeartbeatDue says whether a heartbeat should be sent before the interval has passed,
// because a suspicion is to be refuted.
func (d *Detector) HeartbeatDue() bool { return d.beatNow }

// Receive takes in a message that another controller sent, or drops it with an error
// that says why. Copies and late messages of an earlier process are dropped without
// one.
func (d *Detector) Receive(now time.Time, m Message) error {
	_, err := d.receive(now, m)
	return err
}

// ReceiveAnswer takes in the message that answered one of this controller's own.
func (d *Detector) ReceiveAnswer(now time.Time, m Message) error {
	p, err := d.receive(now, m)
	if p != nil {
		p.answer(now)
	}
	return err
}

// receive returns the sender if the message was new.
func (d *Detector) receive(now time.Time, m Message) (*peer, error) {
	p := d.peer(m.Controller)
	if p == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownNode, m.Controller)
	}
	if err := m.check(len(d.cfg.Members)); err != nil {
		return nil, err
	}
	if m.Heartbeat.Process == 0 {
		return nil, nil // it has no lease yet, so nothing depends on it
	}
	if !d.heard(now, p, m.Heartbeat) {
		return nil, nil
	}
	p.opinion, p.opinionAt = map[string]Accusation{}, now
	for _, a := range m.Accusations {
		p.opinion[a.Controller] = a
		d.refute(a)
	}
	return p, nil
}

// heard takes in a heartbeat, and says whether it was new.
func (d *Detector) heard(now time.Time, p *peer, h Heartbeat) bool {
	before := p.latest.Process
	if !p.adopt(h) {
		return false
	}
	switch interval := now.Sub(p.heardAt); {
	case p.latest.Process != before:
		p.answered = now // its silences begin here
	case interval <= d.cfg.SuspectMax:
		p.intervals.observe(interval)
	}
	p.hear(now)
	d.noteStalled(now, p)
	return true
}

func (d *Detector) noteStalled(now time.Time, p *peer) {
	switch {
	case len(p.latest.Stalled) == 0:
		p.stalledAt = time.Time{}
	case p.stalledAt.IsZero():
		p.stalledAt = now
	}
}

// refute answers an accusation of this controller's own silence.
func (d *Detector) refute(a Accusation) {
	if a.Controller != d.cfg.Self || a.Process != d.own.Process || a.Refutation < d.own.Refutation {
		return
	}
	if !slices.Contains(a.Evidence, Unreachable) {
		return
	}
	d.own.Refutation = a.Refutation + 1
	d.beatNow = true
}

// ProbeResult takes in what came of a probe; no heartbeat means that it failed.
func (d *Detector) ProbeResult(now time.Time, made Probe, answer *Heartbeat) {
	p := d.peer(made.Target)
	if p == nil {
		return
	}
	if answer == nil {
		if made.Via == "" {
			p.probe.directFailed = p.probe.direct
		} else {
			delete(p.probe.waiting, made.Via)
		}
		return
	}
	if answer.Process != 0 && d.heard(now, p, *answer) {
		p.answer(now)
	}
}

// SetUnserved says whether workers that were sent to a controller come back to
// this one.
func (d *Detector) SetUnserved(now time.Time, node string, unserved bool) {
	p := d.peer(node)
	switch {
	case p == nil:
	case !unserved:
		p.unservedAt = time.Time{}
	case p.unservedAt.IsZero():
		p.unservedAt = now
	}
}

// SetLease says which process holds a controller's lease; 0: none.
func (d *Detector) SetLease(now time.Time, node string, process uint64) {
	p := d.peer(node)
	if p == nil || process == p.lease {
		return
	}
	ended := p.lease
	p.lease = process
	p.leaseSeen = p.leaseSeen || process != 0
	switch {
	case ended == 0:
	case ended == p.latest.Process:
		p.begin(Heartbeat{}) // unmonitored until the new process is heard
	default: // a later process was heard before the state service showed its lease
		p.retire(ended)
	}
}

// Tick looks at all deadlines and returns the probes to be made now.
func (d *Detector) Tick(now time.Time) []Probe {
	d.lookAtSelf(now)
	var probes []Probe
	for _, p := range d.peers {
		probes = append(probes, d.pursue(now, p)...)
	}
	for _, p := range d.peers {
		d.judge(now, p)
	}
	d.next = now.Add(d.cfg.Interval / 4)
	return probes
}

// Next is when Tick should be called next.
func (d *Detector) Next() time.Time { return d.next }

// lookAtSelf finds out whether this observer is in a state to accuse others.
func (d *Detector) lookAtSelf(now time.Time) {
	late := time.Duration(0)
	if !d.next.IsZero() {
		late = now.Sub(d.next)
	}
	if late >= d.cfg.Interval { // it stood still, and could have heard nobody
		for _, p := range d.peers {
			p.postpone(late)
		}
	}
	if late > d.cfg.Interval/2 || d.hearsNobody(now) {
		d.health.worsen(now, d.cfg.Interval)
		return
	}
	d.health.recover(now, d.cfg.Interval)
}

// hearsNobody says that every monitored controller with a lease is silent, two of
// them at least: it may well be this one that is cut off.
func (d *Detector) hearsNobody(now time.Time) bool {
	silent := 0
	for _, p := range d.peers {
		if !p.monitored() || p.lease == 0 {
			continue
		}
		if now.Sub(p.heardAt) <= d.cfg.SuspectMin {
			return false
		}
		silent++
	}
	return silent >= 2
}

// bound is the silence beyond which a controller is suspected.
func (d *Detector) bound(p *peer) time.Duration {
	adapted := min(max(p.intervals.unusual(), d.cfg.SuspectMin), d.cfg.SuspectMax)
	return d.health.widen(adapted)
}

// pursue probes a controller that has answered nothing for unusually long, first
// directly and then through others, and holds it against it when its bound has passed
// and none was answered.
func (d *Detector) pursue(now time.Time, p *peer) []Probe {
	if !p.monitored() || p.lease == 0 {
		return nil
	}
	bound := d.bound(p)
	unanswered := now.Sub(p.answered)
	if unanswered <= bound/2 {
		return nil
	}
	var out []Probe
	s := &p.probe
	if s.done() && now.Sub(s.startedAt) > bound {
		*s = probeState{} // another round
	}
	if !s.direct {
		s.startedAt, s.direct = now, true
		out = append(out, Probe{Target: p.name})
	}
	d.expire(now, s)
	if s.directFailed && !s.indirectSent {
		out = append(out, d.indirect(now, p)...)
	}
	if s.done() && unanswered > bound {
		d.hold(now, p, bound)
	}
	return out
}

// hold holds unanswered probes against a controller, and its silence if it is silent
// as well.
func (d *Detector) hold(now time.Time, p *peer, bound time.Duration) {
	if now.Sub(p.heardAt) > bound {
		if p.unreachableAt.IsZero() {
			p.unreachableAt = p.heardAt
		}
		return
	}
	if p.unansweredAt.IsZero() {
		p.unansweredAt = p.answered
	}
}

// expire counts probes as failed that took too long.
func (d *Detector) expire(now time.Time, s *probeState) {
	if now.Sub(s.startedAt) < d.cfg.ProbeTimeout {
		return
	}
	if s.indirectSent {
		clear(s.waiting)
		return
	}
	s.directFailed = true
}

// indirect asks all others that are heard to probe a controller.
func (d *Detector) indirect(now time.Time, p *peer) []Probe {
	s := &p.probe
	s.indirectSent, s.startedAt, s.waiting = true, now, map[string]bool{}
	var out []Probe
	for _, other := range d.peers {
		if other != p && other.monitored() && now.Sub(other.heardAt) <= d.bound(other) {
			s.waiting[other.name] = true
			out = append(out, Probe{Target: p.name, Via: other.name})
		}
	}
	return out
}

// accusers lists the controllers that hold evidence of their own against a
// controller's process, and says whether any of it is about work.
func (d *Detector) accusers(now time.Time, p *peer) (names []string, aboutWork bool) {
	own := Accusation{Process: p.process(), Refutation: p.latest.Refutation, Evidence: p.evidence()}
	if len(own.Evidence) > 0 {
		names = append(names, d.cfg.Self)
		aboutWork = own.aboutWork()
	}
	for _, other := range d.peers {
		a, ok := other.opinion[p.name]
		if other == p || !ok || a.Process != p.process() || now.Sub(other.opinionAt) > d.bound(other) {
			continue
		}
		if refuted := a.Refutation < p.latest.Refutation && a.refutable(); refuted {
			continue
		}
		names = append(names, other.name)
		aboutWork = aboutWork || a.aboutWork()
	}
	slices.Sort(names)
	return names, aboutWork
}

// quorum is how many accusers declare a controller failed: a majority of all
// configured controllers, whether they live or not.
func (d *Detector) quorum() int { return len(d.cfg.Members)/2 + 1 }

// judge moves a controller to the state that the evidence gives it.
func (d *Detector) judge(now time.Time, p *peer) {
	to, evidence := d.verdict(now, p)
	if to == p.state {
		return
	}
	names, _ := d.accusers(now, p)
	d.changes = append(d.changes, Change{Controller: p.name, Process: p.lastProcess(), From: p.state, To: to, Evidence: evidence, Accusers: names})
	p.state = to
	p.suspectAt = time.Time{}
	if to == Suspect {
		p.suspectAt = now
	}
}

func (d *Detector) verdict(now time.Time, p *peer) (State, []Evidence) {
	if p.lease == 0 && p.leaseSeen {
		return Failed, []Evidence{LeaseEnded}
	}
	if !p.monitored() {
		return Unmonitored, nil
	}
	evidence := p.evidence()
	if len(evidence) == 0 {
		return Alive, nil
	}
	if p.state == Failed || d.declares(now, p) {
		return Failed, evidence
	}
	return Suspect, evidence
}

// declares says whether a suspect is to be declared failed though its lease lives.
func (d *Detector) declares(now time.Time, p *peer) bool {
	if p.state != Suspect || now.Sub(p.suspectAt) < d.cfg.Interval {
		return false
	}
	if now.Sub(p.evidenceSince()) < d.health.widen(d.cfg.DeclareAfter) {
		return false
	}
	names, aboutWork := d.accusers(now, p)
	return aboutWork && len(names) >= d.quorum()
}

// Changes returns the changes of state since it was last called.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// Proposals lists the controllers that are declared failed while their lease
// lives.
func (d *Detector) Proposals(now time.Time) []Proposal {
	var out []Proposal
	for _, p := range d.peers {
		if p.state != Failed || p.lease == 0 || p.lease != p.process() {
			continue
		}
		names, aboutWork := d.accusers(now, p)
		if !aboutWork || len(names) < d.quorum() {
			continue // others took back what they held against it
		}
		out = append(out, Proposal{Controller: p.name, Process: p.process(), Evidence: p.evidence(), Accusers: names})
	}
	return out
}

// Views describes all other controllers, by name.
func (d *Detector) Views(now time.Time) []View {
	var out []View
	for _, p := range d.peers {
		names, _ := d.accusers(now, p)
		v := View{Controller: p.name, State: p.state, Process: p.process(), Refutation: p.latest.Refutation, Evidence: p.evidence(), Accusers: names, SilenceLimit: d.bound(p)}
		if p.monitored() && !p.heardAt.IsZero() {
			v.SilentFor = now.Sub(p.heardAt)
		}
		out = append(out, v)
	}
	return out
}
