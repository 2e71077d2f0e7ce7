package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/peer"
	"ravenport/settings"
	"ravenport/watchdog"
)

// MonitorPeer is another controller as failure detection calls it.
type MonitorPeer interface {
	Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error)
	Probe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error)
}

// History keeps membership events.
type History interface {
	Append(events ...history.Event) error
}

// ErrStalled ends a controller one of whose actors makes no progress.
var ErrStalled = errors.New("controller: an actor makes no progress")

// Messages to the monitor.
type (
	monitorTick   time.Time
	peerHeartbeat struct { // another controller's heartbeat
		message detector.Message
		answer  chan<- peerHeartbeatAnswer // has room for the answer
	}
	peerHeartbeatAnswer struct {
		message detector.Message
		err     error
	}
	peerHeartbeatResult struct { // what came of a heartbeat of this one
		controller string
		message    detector.Message
		err        error
	}
	ownHeartbeatRequest struct{ answer chan<- detector.Heartbeat } // has room for the answer
	probeDone           struct {
		probe     detector.Probe
		heartbeat *detector.Heartbeat // nil: it failed
	}
	// clusterView is what the control actor knows and the monitor needs.
	clusterView struct {
		process  uint64            // this controller's; 0: it holds no lease
		leases   map[string]uint64 // processes that hold the others' leases, by controller
		unserved map[string]bool   // controllers whose workers come back to this one
		actors   map[string]*actor.Ref
		feed     watchdog.Sample
	}
	revocationSeen history.Event
)

// monitorActor runs failure detection: it exchanges heartbeats, makes probes, watches the
// other actors, and hands what the detector proposes to the control actor, which
// alone may act on it.
type monitorActor struct {
	name         string
	set          *settings.Detection
	leaseTTL     time.Duration // of this controller's lease
	detector     *detector.Detector
	watchdog     *watchdog.Watchdog
	peers        map[string]MonitorPeer
	history      *actor.Ref // nil: events are kept in memory alone
	recentEvents []history.Event
	self         *actor.Ref
	control      *actor.Ref
	failures     chan<- error // has room for one

	view              clusterView
	nextHeartbeat     time.Time
	nextPublish       time.Time
	heartbeatInFlight map[string]bool // a heartbeat is on its way, by controller
	dropped           MessageCounts
	exitAt            time.Time // when this process ends because an actor is stalled
	stalled           []string
	failureReported   bool
}

// newMonitorActor makes the monitor; the settings were checked when they were read.
func newMonitorActor(set *settings.Settings, out Dependencies, self, control *actor.Ref, failed chan<- error) (*monitorActor, error) {
	d, err := detector.New(set.DetectorConfig(), time.Now())
	if err != nil {
		return nil, err
	}
	return &monitorActor{
		name: set.Controller, set: set.Detection, leaseTTL: set.Operator.LeaseTTL, detector: d, watchdog: watchdog.New(set.Detection.StallAfter),
		peers: out.Monitors, self: self, control: control, failures: failed, heartbeatInFlight: map[string]bool{},
	}, nil
}

// Receive implements actor.Handler.
func (m *monitorActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	switch msg := msg.(type) {
	case monitorTick:
		m.tick(ctx, now)
	case clusterView:
		m.setView(now, msg)
	case peerHeartbeat:
		err := m.countDropped(m.detector.HandleMessage(now, msg.message))
		msg.answer <- peerHeartbeatAnswer{m.detector.NextHeartbeat(), err}
	case peerHeartbeatResult:
		m.heartbeatInFlight[msg.controller] = false
		if msg.err == nil {
			_ = m.countDropped(m.detector.HandleReply(now, msg.message))
		}
	case ownHeartbeatRequest:
		msg.answer <- m.detector.NextHeartbeat().Heartbeat
	case probeDone:
		m.detector.HandleProbeResult(now, msg.probe, msg.heartbeat)
	case revocationSeen:
		m.recordEvent(history.Event(msg))
	}
}

// countDropped counts a message that the detector dropped.
func (m *monitorActor) countDropped(err error) error {
	if err != nil {
		m.dropped.add(err)
		slog.Debug("heartbeat dropped", "err", err)
	}
	return err
}

func (m *monitorActor) setView(now time.Time, v clusterView) {
	m.view = v
	m.detector.SetIncarnation(v.process)
	for node, process := range v.leases {
		m.detector.SetLease(now, node, process)
		m.detector.SetUnserved(now, node, v.unserved[node])
	}
}

func (m *monitorActor) tick(ctx context.Context, now time.Time) {
	m.checkActors(now)
	if !now.Before(m.detector.NextTick()) {
		for _, p := range m.detector.Tick(now) {
			go m.probe(ctx, p)
		}
		for _, c := range m.detector.TakeStateChanges() {
			m.recordChange(now, c)
		}
	}
	if m.detector.IsRefutationPending() || !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.set.Interval)
		m.sendHeartbeats(ctx)
	}
	if !now.Before(m.nextPublish) {
		m.nextPublish = now.Add(constants.MonitorPublishInterval)
		m.publish(now)
	}
}

// checkActors looks for stalled actors. With one, this process gives up its lease and ends
// once that has run out.
func (m *monitorActor) checkActors(now time.Time) {
	samples := []watchdog.Sample{m.view.feed}
	for name, ref := range m.view.actors {
		p := ref.Progress()
		samples = append(samples, watchdog.Sample{Name: name, Handled: p.Handled, Pending: p.Pending})
	}
	stalled := m.watchdog.Observe(now, samples)
	m.detector.SetStalled(stalled)
	if len(stalled) > 0 && m.exitAt.IsZero() {
		slog.Error("an actor makes no progress: the lease is given up", "actors", stalled)
		m.stalled, m.exitAt = stalled, now.Add(m.leaseTTL)
		m.control.Tell(resignLease{})
	}
	if !m.exitAt.IsZero() && !now.Before(m.exitAt) && !m.failureReported {
		m.failureReported = true
		m.failures <- fmt.Errorf("%w: %v", ErrStalled, m.stalled)
	}
}

// sendHeartbeats sends a heartbeat to every controller that has answered the one before.
func (m *monitorActor) sendHeartbeats(ctx context.Context) {
	message := m.detector.NextHeartbeat()
	for node, p := range m.peers {
		if m.heartbeatInFlight[node] {
			continue
		}
		m.heartbeatInFlight[node] = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, constants.PeerTimeout)
			defer cancel()
			answer, err := p.Heartbeat(ctx, message)
			m.self.Tell(peerHeartbeatResult{node, answer, err})
		}()
	}
}

// probe carries out one probe. It runs beside the actor.
func (m *monitorActor) probe(ctx context.Context, made detector.Probe) {
	asked, request := made.Target, peer.ProbeRequest{Controller: m.name}
	if made.Via != "" {
		asked, request.Target = made.Via, made.Target
	}
	ctx, cancel := context.WithTimeout(ctx, m.set.ProbeTimeout)
	defer cancel()
	done := probeDone{probe: made}
	if p := m.peers[asked]; p != nil {
		if reply, err := p.Probe(ctx, request); err == nil {
			done.heartbeat = reply.Heartbeat
		}
	}
	m.self.Tell(done)
}

// recordChange logs a change of state and keeps it in the history.
func (m *monitorActor) recordChange(now time.Time, c detector.StateChange) {
	e := history.Event{At: now, Observer: m.name, Controller: c.Controller, Incarnation: c.Incarnation, From: string(c.From), To: string(c.To),
		Evidence: evidenceNames(c.Evidence), Accusers: c.Accusers}
	log := slog.Info
	if c.To == detector.Suspect || c.To == detector.Failed {
		log = slog.Warn
	}
	log("controller's state changed", "node", e.Controller, "from", e.From, "to", e.To, "evidence", e.Evidence, "accusers", e.Accusers)
	m.recordEvent(e)
}

func (m *monitorActor) recordEvent(e history.Event) {
	m.recentEvents = append(m.recentEvents, e)
	m.recentEvents = m.recentEvents[max(0, len(m.recentEvents)-constants.StatusEventCount):]
	if m.history != nil {
		m.history.Tell(e)
	}
}

// historyWriter writes events to a file, where a slow disk keeps nobody waiting.
type historyWriter struct{ file History }

// Receive implements actor.Handler.
func (a historyWriter) Receive(_ context.Context, msg any) {
	e, ok := msg.(history.Event)
	if !ok {
		return
	}
	if err := a.file.Append(e); err != nil {
		slog.Warn("membership event not kept", "err", err)
	}
}

// publish hands the control actor what is seen and what is proposed.
func (m *monitorActor) publish(now time.Time) {
	seen := membershipView{dropped: m.dropped}
	for _, v := range m.detector.PeerViews(now) {
		seen.members = append(seen.members, MemberStatus{
			Controller: v.Controller, State: string(v.State), Evidence: evidenceNames(v.Evidence), Accusers: v.Accusers,
			Refutation: v.Refutation, SilentMS: v.SilentFor.Milliseconds(), SilenceLimitMS: v.SilenceLimit.Milliseconds(),
		})
	}
	for _, e := range m.recentEvents {
		seen.events = append(seen.events, e.String())
	}
	m.control.Tell(seen)
	if proposals := m.detector.Proposals(now); m.set.Revoke && len(proposals) > 0 {
		m.control.Tell(proposals)
	}
}

func evidenceNames(evidence []detector.Evidence) []string {
	var out []string
	for _, e := range evidence {
		out = append(out, string(e))
	}
	return out
}

// MessageCounts counts heartbeats that were dropped, by reason.
type MessageCounts struct {
	Unknown   uint64 `json:"unknown_controller"`
	Malformed uint64 `json:"malformed"`
}

func (c *MessageCounts) add(err error) {
	switch {
	case errors.Is(err, detector.ErrUnknownController):
		c.Unknown++
	case errors.Is(err, detector.ErrMalformedMessage):
		c.Malformed++
	}
}

// HandlePeerHeartbeat takes in another controller's heartbeat and answers with this one's.
func (n *Controller) HandlePeerHeartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	answer := make(chan peerHeartbeatAnswer, 1)
	n.monitor.Tell(peerHeartbeat{m, answer})
	select {
	case a := <-answer:
		return a.message, a.err
	case <-ctx.Done():
		return detector.Message{}, ctx.Err()
	}
}

// HandlePeerProbe answers with this controller's heartbeat, or with that of the controller
// that it is asked to probe.
func (n *Controller) HandlePeerProbe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error) {
	if target := n.monitorPeers[r.Target]; target != nil {
		return target.Probe(ctx, peer.ProbeRequest{Controller: n.name})
	}
	if r.Target != "" && r.Target != n.name {
		return peer.ProbeReply{}, fmt.Errorf("%w: %q", detector.ErrUnknownController, r.Target)
	}
	answer := make(chan detector.Heartbeat, 1)
	n.monitor.Tell(ownHeartbeatRequest{answer})
	select {
	case h := <-answer:
		return peer.ProbeReply{Heartbeat: &h}, nil
	case <-ctx.Done():
		return peer.ProbeReply{}, ctx.Err()
	}
}

// Failed tells when this controller must end because it cannot go on.
func (n *Controller) Failed() <-chan error { return n.failures }
