package detector

import "time"

// maxHealthScore bounds how far an observer that may be at fault itself extends its
// timeouts: to eight times.
const maxHealthScore = 7

// recoveryIntervals is after how many heartbeat intervals without a fault of its own an
// observer's score falls by one.
const recoveryIntervals = 2

// minIsolationPeers is how many other controllers must be silent at once before an
// observer takes itself for cut off.
const minIsolationPeers = 2

// localHealth scores how far the observer itself may be at fault; 0: not at all.
type localHealth struct {
	score     int
	changedAt time.Time
}

// raiseScore raises the score, at most once in an interval.
func (h *localHealth) raiseScore(now time.Time, interval time.Duration) {
	if now.Sub(h.changedAt) < interval {
		return
	}
	h.score = min(h.score+1, maxHealthScore)
	h.changedAt = now
}

// lowerScore lowers the score after some intervals without a cause for it.
func (h *localHealth) lowerScore(now time.Time, interval time.Duration) {
	if h.score == 0 || now.Sub(h.changedAt) < recoveryIntervals*interval {
		return
	}
	h.score--
	h.changedAt = now
}

// scale extends a timeout by the score.
func (h *localHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}

// updateLocalHealth finds out whether this observer is in a state to accuse others.
func (d *Detector) updateLocalHealth(now time.Time) {
	interval := d.config.HeartbeatInterval
	late := time.Duration(0)
	if !d.nextTick.IsZero() {
		late = now.Sub(d.nextTick)
	}
	if late >= interval { // this process was paused, and could have received nothing
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

// isIsolated reports whether every monitored controller with a lease is silent, and there
// are at least two of them: it may well be this one that is cut off.
func (d *Detector) isIsolated(now time.Time) bool {
	overdue := 0
	for _, p := range d.peers {
		if !p.isMonitored() || p.leaseIncarnation == 0 {
			continue
		}
		if now.Sub(p.lastSeen) <= d.config.SuspectMin {
			return false
		}
		overdue++
	}
	return overdue >= minIsolationPeers
}

// suspicionTimeout is the silence beyond which a controller is suspected.
func (d *Detector) suspicionTimeout(p *peer) time.Duration {
	adapted := min(max(p.intervalStats.suspicionThreshold(), d.config.SuspectMin), d.config.SuspectMax)
	return d.localHealth.scale(adapted)
}
