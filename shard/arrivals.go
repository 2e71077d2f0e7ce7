package shard

import (
	"math"
	"time"

	"ravenport/constants"
)

// arrivalRate estimates the arrival rate of one kind of work by an exponentially decaying sum
// with the time constant constants.ArrivalTimeConstant.
type arrivalRate struct {
	cpus    float64   // decayed sum of CPUs
	largest resources // maximum over all arrivals, for each resource separately
	at      time.Time // when cpus was last decayed
}

// decay applies the decay since the last call to the sum.
func (a *arrivalRate) decay(now time.Time) {
	if !a.at.IsZero() {
		a.cpus *= math.Exp(-now.Sub(a.at).Seconds() / constants.ArrivalTimeConstant.Seconds())
	}
	a.at = now
}

// add counts work that arrived some time ago. A new owner also counts the work that arrived
// before its term, and thereby rebuilds the estimate of the previous owner.
func (a *arrivalRate) add(now time.Time, ago time.Duration, n resources) {
	a.decay(now)
	a.cpus += n.cpus * math.Exp(-max(0, ago.Seconds())/constants.ArrivalTimeConstant.Seconds())
	a.largest = resources{cpus: max(a.largest.cpus, n.cpus), gpus: max(a.largest.gpus, n.gpus), memory: max(a.largest.memory, n.memory)}
}

// expectedCPUs returns how many CPUs of work are expected to arrive within d.
func (a *arrivalRate) expectedCPUs(now time.Time, d time.Duration) float64 {
	a.decay(now)
	return a.cpus * d.Seconds() / constants.ArrivalTimeConstant.Seconds()
}
