package detector

import (
	"math"
	"time"
)

// Weights of the interval statistics.
const (
	// sampleWeight is the weight of the newest interval in the running mean and
	// variance, which are dominated by about the last twenty intervals.
	sampleWeight = 0.1
	// deviations is the number of standard deviations above the mean at which the time
	// since the last heartbeat becomes unusual.
	deviations = 4
)

// intervalStats keeps the running mean and variance of the times between heartbeats.
type intervalStats struct {
	expected time.Duration // used until an interval has been observed
	observed bool
	mean     float64 // seconds
	variance float64 // seconds squared
}

// observe adds one interval to the statistics.
func (s *intervalStats) observe(interval time.Duration) {
	seconds := interval.Seconds()
	if !s.observed {
		s.observed = true
		s.mean = seconds
		return
	}
	delta := seconds - s.mean
	s.mean += sampleWeight * delta
	s.variance = (1 - sampleWeight) * (s.variance + sampleWeight*delta*delta)
}

// suspicionThreshold returns the time without a heartbeat after which the controller or
// its link may have failed.
func (s *intervalStats) suspicionThreshold() time.Duration {
	mean := s.expected.Seconds()
	if s.observed {
		mean = s.mean
	}
	slack := s.expected.Seconds() / 2
	seconds := mean + deviations*math.Sqrt(s.variance) + slack
	return time.Duration(seconds * float64(time.Second))
}
