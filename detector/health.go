package detector

import "time"

// maxHealthScore bounds how far an observer that doubts itself widens its bounds:
// to eight times.
const maxHealthScore = 7

// localHealth is an observer's doubt of itself.
type localHealth struct {
	score     int
	changedAt time.Time
}

// worsen raises the doubt, at most once in an interval.
func (h *localHealth) worsen(now time.Time, interval time.Duration) {
	if now.Sub(h.changedAt) < interval {
		return
	}
	h.score = min(h.score+1, maxHealthScore)
	h.changedAt = now
}

// recover lowers the doubt after two intervals without a cause for it.
func (h *localHealth) recover(now time.Time, interval time.Duration) {
	if h.score == 0 || now.Sub(h.changedAt) < 2*interval {
		return
	}
	h.score--
	h.changedAt = now
}

// scale scales a bound by the doubt.
func (h *localHealth) scale(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
