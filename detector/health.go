package detector

import "time"

// maxHealthScore limits the health score. At this score, an observer that may be at
// fault itself extends its timeouts to eight times their length.
const maxHealthScore = 7

// recoveryIntervals is the number of heartbeat intervals without a local fault after
// which an observer's score decreases by one.
const recoveryIntervals = 2

// minIsolationPeers is the number of other controllers whose heartbeats must be missing
// at the same time before an observer considers itself isolated.
const minIsolationPeers = 2

// localHealth is a score of the faults of the observer itself, such as pauses and
// isolation; 0 means that there is no sign of a local fault.
type localHealth struct {
	score     int
	changedAt time.Time
}

// raiseScore raises the score, at most once per interval.
func (h *localHealth) raiseScore(now time.Time, interval time.Duration) {
	if now.Sub(h.changedAt) < interval {
		return
	}
	h.score = min(h.score+1, maxHealthScore)
	h.changedAt = now
}

// lowerScore lowers the score after recoveryIntervals intervals without a local fault.
func (h *localHealth) lowerScore(now time.Time, interval time.Duration) {
	if h.score == 0 || now.Sub(h.changedAt) < recoveryIntervals*interval {
		return
	}
	h.score--
	h.changedAt = now
}

// scale extends a timeout in proportion to the score.
func (h *localHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}

// updateLocalHealth raises the health score if this tick is late or this observer is
// isolated, and otherwise lowers it. After a pause of this process it shifts the
// timestamps of all peers.
func (d *Detector) updateLocalHealth(now time.Time) {
	interval := d.config.HeartbeatInterval
	late := time.Duration(0)
	if !d.nextTick.IsZero() {
		late = now.Sub(d.nextTick)
	}
	if late >= interval { // this process was paused and could not receive messages
		for _, p := range d.peers {
			p.shiftTimestamps(late)
		}
	}
	if late > interval/2 || d.isIsolated(now) {
		d.localHealth.raiseScore(now, interval)
		return
	}
	d.localHealth.lowerScore(now, interval)
}

// isIsolated reports whether the heartbeats of every monitored controller with a lease
// are missing, and there are at least two such controllers. In that case this controller
// itself may be cut off from the network.
func (d *Detector) isIsolated(now time.Time) bool {
	overdue := 0
	for _, p := range d.peers {
		if !p.isMonitored() || p.leaseIncarnation == 0 {
			continue
		}
		if now.Sub(p.lastHeartbeat) <= d.config.SuspectMin {
			return false
		}
		overdue++
	}
	return overdue >= minIsolationPeers
}

// suspicionTimeout returns the time without an answer after which a controller is
// suspected.
func (d *Detector) suspicionTimeout(p *peer) time.Duration {
	adapted := min(max(p.intervalStats.suspicionThreshold(), d.config.SuspectMin), d.config.SuspectMax)
	return d.localHealth.scale(adapted)
}
