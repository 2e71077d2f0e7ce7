package detector

import (
	"math"
	"time"
)

// Weights of the interval statistics.
const (
	// sampleWeight is the share of the newest interval in the running mean and
	// variance: the last twenty or so intervals decide.
	sampleWeight = 0.1
	// deviations is how many standard deviations beyond the mean a silence is
	// unusual.
	deviations = 4
)

// intervalStats keeps the running mean and variance of the times between heartbeats.
type intervalStats struct {
	expected time.Duration // before anything was observed
	observed bool
	mean     float64 // seconds
	variance float64 // seconds squared
}

// observe takes in one interval.
func (i *intervalStats) observe(d time.Duration) {
	s := d.Seconds()
	if !i.observed {
		i.observed, i.mean = true, s
		return
	}
	delta := s - i.mean
	i.mean += sampleWeight * delta
	i.variance = (1 - sampleWeight) * (i.variance + sampleWeight*delta*delta)
}

// silenceThreshold is the silence beyond which something may be wrong.
func (i *intervalStats) silenceThreshold() time.Duration {
	mean := i.expected.Seconds()
	if i.observed {
		mean = i.mean
	}
	slack := i.expected.Seconds() / 2
	seconds := mean + deviations*math.Sqrt(i.variance) + slack
	return time.Duration(seconds * float64(time.Second))
}
