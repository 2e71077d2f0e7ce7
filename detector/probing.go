package detector

import "time"

// Probe is a request to the caller to check whether a controller answers.
type Probe struct {
	Target string
	Via    string // the controller that sends the probe; empty: this controller
}

// probeRound is the progress of probing a controller that does not answer, first
// directly and then through the other controllers.
type probeRound struct {
	phaseStartedAt time.Time // when the latest probes were sent
	directSent     bool      // a direct probe was sent and is not answered yet
	directFailed   bool
	indirectSent   bool
	pendingProbers map[string]bool // controllers that were asked to probe and have not replied yet
}

// isExhausted reports whether all probes of the round have failed.
func (r *probeRound) isExhausted() bool {
	return r.directFailed && r.indirectSent && len(r.pendingProbers) == 0
}

// probeIfUnanswered probes a controller that has not answered for half its suspicion
// timeout, first directly and then through other controllers. Once the whole timeout has
// passed and no probe was answered, it records evidence.
func (d *Detector) probeIfUnanswered(now time.Time, target *peer) []Probe {
	if !target.isMonitored() || target.leaseIncarnation == 0 {
		return nil
	}
	timeout := d.suspicionTimeout(target)
	unansweredFor := now.Sub(target.lastAnswer)
	if unansweredFor <= timeout/2 {
		return nil
	}
	round := &target.probing
	if round.isExhausted() && now.Sub(round.phaseStartedAt) > timeout {
		*round = probeRound{}
	}
	var probes []Probe
	if !round.directSent {
		round.phaseStartedAt = now
		round.directSent = true
		probes = append(probes, Probe{Target: target.name})
	}
	d.expireProbes(now, round)
	if round.directFailed && !round.indirectSent {
		probes = append(probes, d.startIndirectProbes(now, target)...)
	}
	if round.isExhausted() && unansweredFor > timeout {
		recordProbeEvidence(now, target, timeout)
	}
	return probes
}

// expireProbes marks probes as failed when the probe timeout has passed.
func (d *Detector) expireProbes(now time.Time, round *probeRound) {
	if now.Sub(round.phaseStartedAt) < d.config.ProbeTimeout {
		return
	}
	if round.indirectSent {
		clear(round.pendingProbers)
		return
	}
	round.directFailed = true
}

// startIndirectProbes returns one probe of the target through each other controller whose
// last heartbeat arrived within its suspicion timeout.
func (d *Detector) startIndirectProbes(now time.Time, target *peer) []Probe {
	round := &target.probing
	round.indirectSent = true
	round.phaseStartedAt = now
	round.pendingProbers = map[string]bool{}
	var probes []Probe
	for _, via := range d.peers {
		if via == target || !via.isMonitored() || now.Sub(via.lastHeartbeat) > d.suspicionTimeout(via) {
			continue
		}
		round.pendingProbers[via.name] = true
		probes = append(probes, Probe{Target: target.name, Via: via.name})
	}
	return probes
}

// recordProbeEvidence records that a controller answered no probe: as unreachable if its
// own heartbeats are missing as well, and as unanswered if they still arrive.
func recordProbeEvidence(now time.Time, p *peer, timeout time.Duration) {
	isHeartbeatMissing := now.Sub(p.lastHeartbeat) > timeout
	switch {
	case isHeartbeatMissing && p.unreachableSince.IsZero():
		p.unreachableSince = p.lastHeartbeat
	case !isHeartbeatMissing && p.unansweredSince.IsZero():
		p.unansweredSince = p.lastAnswer
	}
}

// HandleProbeResult evaluates the result of a probe. A nil heartbeat means that the probe
// failed.
func (d *Detector) HandleProbeResult(now time.Time, probe Probe, heartbeat *Heartbeat) {
	target := d.peer(probe.Target)
	if target == nil {
		return
	}
	if heartbeat == nil {
		target.probing.recordFailure(probe.Via)
		return
	}
	if heartbeat.Incarnation != 0 && d.acceptHeartbeat(now, target, *heartbeat) {
		target.markAnswered(now)
	}
}

// recordFailure records that a probe through another controller failed, or a direct
// probe if via is empty. The result of a direct probe may arrive after its round has
// ended.
func (r *probeRound) recordFailure(via string) {
	if via == "" {
		r.directFailed = r.directSent
		return
	}
	delete(r.pendingProbers, via)
}
