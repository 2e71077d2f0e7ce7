package controller

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/logkey"
	"ravenport/peer"
	"ravenport/settings"
	"ravenport/watchdog"
)

// monitorActor runs failure detection: it exchanges heartbeats with the other controllers,
// probes them, and checks the progress of the actors in this process. It sends the
// detector's proposals to the control actor. Only the control actor may revoke a
// controller.
type monitorActor struct {
	name     string // this controller's name
	settings *settings.Detection
	leaseTTL time.Duration // this controller's lease TTL
	detector *detector.Detector
	watchdog *watchdog.Watchdog
	peers    map[string]MonitorPeer
	self     *actor.Ref
	control  *actor.Ref

	view              clusterView
	nextHeartbeat     time.Time
	heartbeatInFlight map[string]bool // whether a heartbeat call is in flight, by controller
	nextPublish       time.Time
	dropped           DroppedHeartbeats
	events            eventLog
	stall             stallState
}

// stallState tracks the handling of a stalled actor: this process stops renewing its lease
// at once, and exits after the TTL of the lease, when the lease has expired.
type stallState struct {
	actors   []string
	exitAt   time.Time // zero: no actor is stalled
	reported bool
	failures chan<- error // buffered; an error on it ends the process
}

// newMonitorActor returns the monitor's actor, or an error if the detector rejects its
// configuration.
func newMonitorActor(set *settings.Settings, dependencies Dependencies, self, control *actor.Ref, failures chan<- error) (*monitorActor, error) {
	d, err := detector.New(set.DetectorConfig(), time.Now())
	if err != nil {
		return nil, err
	}
	return &monitorActor{
		name:              set.Controller,
		settings:          set.Detection,
		leaseTTL:          set.Operator.LeaseTTL,
		detector:          d,
		watchdog:          watchdog.New(set.Detection.StallTimeout),
		peers:             dependencies.Monitors,
		self:              self,
		control:           control,
		heartbeatInFlight: map[string]bool{},
		stall:             stallState{failures: failures},
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
	case revocationEvent:
		m.events.add(history.Event(msg))
	}
}

// countDropped counts a heartbeat that the detector dropped, and returns its error.
func (m *monitorActor) countDropped(err error) error {
	if err != nil {
		m.dropped.add(err)
		slog.Debug("heartbeat dropped", logkey.Err, err)
	}
	return err
}

// setView stores the control actor's view of the cluster and passes it to the detector.
func (m *monitorActor) setView(now time.Time, view clusterView) {
	m.view = view
	m.detector.SetIncarnation(view.incarnation)
	for controller, incarnation := range view.incarnations {
		m.detector.SetLease(now, controller, incarnation)
		m.detector.SetUnserved(now, controller, view.unserved[controller])
	}
}

// tick runs the periodic work that is due: checking the actors, the detector's tick,
// heartbeats, and publishing the detector's view.
func (m *monitorActor) tick(ctx context.Context, now time.Time) {
	m.checkActors(now)
	if !now.Before(m.detector.NextTick()) {
		for _, p := range m.detector.Tick(now) {
			go m.probe(ctx, p)
		}
		for _, change := range m.detector.TakeStateChanges() {
			m.recordChange(now, change)
		}
	}
	if m.detector.IsRefutationPending() || !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.settings.HeartbeatInterval)
		m.sendHeartbeats(ctx)
	}
	if !now.Before(m.nextPublish) {
		m.nextPublish = now.Add(constants.MonitorPublishInterval)
		m.publish(now)
	}
}

// checkActors looks for stalled actors. If there is one, this process stops renewing its
// lease, and exits after the TTL of the lease, when the lease has expired.
func (m *monitorActor) checkActors(now time.Time) {
	samples := []watchdog.Sample{m.view.feed}
	for name, ref := range m.view.actors {
		progress := ref.Progress()
		samples = append(samples, watchdog.Sample{Name: name, Handled: progress.Handled, Pending: progress.Pending})
	}
	stalled := m.watchdog.Observe(now, samples)
	m.detector.SetStalled(stalled)
	if len(stalled) > 0 && m.stall.exitAt.IsZero() {
		slog.Error("an actor makes no progress: the lease is given up", "actors", stalled)
		m.stall.actors = stalled
		m.stall.exitAt = now.Add(m.leaseTTL)
		m.control.Tell(resignLease{})
	}
	m.stall.reportIfDue(now)
}

// reportIfDue reports ErrStalled, which ends the process, once exitAt has passed. It
// reports it only once.
func (s *stallState) reportIfDue(now time.Time) {
	if s.reported || s.exitAt.IsZero() || now.Before(s.exitAt) {
		return
	}
	s.reported = true
	s.failures <- fmt.Errorf("%w: %v", ErrStalled, s.actors)
}

// sendHeartbeats sends a heartbeat to every other controller, except those whose call for
// the previous heartbeat is still in flight.
func (m *monitorActor) sendHeartbeats(ctx context.Context) {
	message := m.detector.NextHeartbeat()
	for controller, p := range m.peers {
		if m.heartbeatInFlight[controller] {
			continue
		}
		m.heartbeatInFlight[controller] = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, constants.PeerTimeout)
			defer cancel()
			answer, err := p.Heartbeat(ctx, message)
			m.self.Tell(peerHeartbeatResult{controller, answer, err})
		}()
	}
}

// probe performs one probe of a controller, directly or through another controller. It
// runs on its own goroutine, outside the actor.
func (m *monitorActor) probe(ctx context.Context, p detector.Probe) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.ProbeTimeout)
	defer cancel()
	called := p.Target
	request := peer.ProbeRequest{Controller: m.name}
	if p.Via != "" {
		called = p.Via
		request.Target = p.Target
	}
	done := probeDone{probe: p}
	if client := m.peers[called]; client != nil {
		if reply, err := client.Probe(ctx, request); err == nil {
			done.heartbeat = reply.Heartbeat
		}
	}
	m.self.Tell(done)
}

// publish sends the control actor the detector's view of the controllers and, if
// revocation is enabled, its proposals.
func (m *monitorActor) publish(now time.Time) {
	view := membershipView{dropped: m.dropped, events: m.events.lines()}
	for _, v := range m.detector.PeerViews(now) {
		view.members = append(view.members, MemberStatus{
			Controller:         v.Controller,
			State:              string(v.State),
			Evidence:           evidenceNames(v.Evidence),
			Accusers:           v.Accusers,
			Refutation:         v.Refutation,
			SinceHeartbeatMS:   v.SinceHeartbeat.Milliseconds(),
			SuspicionTimeoutMS: v.SuspicionTimeout.Milliseconds(),
		})
	}
	m.control.Tell(view)
	if proposals := m.detector.Proposals(now); m.settings.Revoke && len(proposals) > 0 {
		m.control.Tell(proposals)
	}
}
