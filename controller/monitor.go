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

// monitorActor runs failure detection: it exchanges heartbeats, makes probes, watches the
// other actors, and sends what the detector proposes to the control actor, which alone
// may act on it.
type monitorActor struct {
	name     string // of this controller
	settings *settings.Detection
	leaseTTL time.Duration // of this controller's lease
	detector *detector.Detector
	watchdog *watchdog.Watchdog
	peers    map[string]MonitorPeer
	self     *actor.Ref
	control  *actor.Ref

	view              clusterView
	nextHeartbeat     time.Time
	heartbeatInFlight map[string]bool // by controller
	nextPublish       time.Time
	dropped           DroppedHeartbeats
	events            eventLog
	stall             stallState
}

// stallState is what follows from a stalled actor: this process ends its lease at once,
// and itself once the lease has expired.
type stallState struct {
	actors   []string
	exitAt   time.Time // zero: no actor is stalled
	reported bool
	failures chan<- error // buffered; ends the process
}

// newMonitorActor returns the monitor.
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
		watchdog:          watchdog.New(set.Detection.StallAfter),
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

// setView takes over what the control actor knows.
func (m *monitorActor) setView(now time.Time, view clusterView) {
	m.view = view
	m.detector.SetIncarnation(view.incarnation)
	for controller, incarnation := range view.incarnations {
		m.detector.SetLease(now, controller, incarnation)
		m.detector.SetUnserved(now, controller, view.unserved[controller])
	}
}

// tick does what is due by time.
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
		m.nextHeartbeat = now.Add(m.settings.Interval)
		m.sendHeartbeats(ctx)
	}
	if !now.Before(m.nextPublish) {
		m.nextPublish = now.Add(constants.MonitorPublishInterval)
		m.publish(now)
	}
}

// checkActors looks for stalled actors. With one, this process gives up its lease, and
// ends once that has expired.
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

// reportIfDue ends the process, once, when its lease has expired.
func (s *stallState) reportIfDue(now time.Time) {
	if s.reported || s.exitAt.IsZero() || now.Before(s.exitAt) {
		return
	}
	s.reported = true
	s.failures <- fmt.Errorf("%w: %v", ErrStalled, s.actors)
}

// sendHeartbeats sends a heartbeat to every controller that has answered the one before.
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

// probe carries out one probe, directly or through another controller. It runs beside the
// actor.
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

// publish sends the control actor what failure detection sees and proposes.
func (m *monitorActor) publish(now time.Time) {
	view := membershipView{dropped: m.dropped, events: m.events.lines()}
	for _, v := range m.detector.PeerViews(now) {
		view.members = append(view.members, MemberStatus{
			Controller:         v.Controller,
			State:              string(v.State),
			Evidence:           evidenceNames(v.Evidence),
			Accusers:           v.Accusers,
			Refutation:         v.Refutation,
			SinceHeartbeatMS:   v.SilentFor.Milliseconds(),
			SuspicionTimeoutMS: v.SilenceLimit.Milliseconds(),
		})
	}
	m.control.Tell(view)
	if proposals := m.detector.Proposals(now); m.settings.Revoke && len(proposals) > 0 {
		m.control.Tell(proposals)
	}
}
