package settings

import (
	"time"

	"ravenport/detector"
)

// Detection holds the settings of failure detection; see
// docs/operators-failure-detection.md. The comment on each field names its properties key.
type Detection struct {
	HeartbeatInterval time.Duration // detection.heartbeat.ms
	SuspectMin        time.Duration // detection.suspect.min.ms
	SuspectMax        time.Duration // detection.suspect.max.ms
	DeclareAfter      time.Duration // detection.declare.ms
	ProbeTimeout      time.Duration // detection.probe.timeout.ms
	StallTimeout      time.Duration // detection.stall.ms
	Revoke            bool          // detection.revoke: whether a controller declared failed is replaced, or only reported
	HistoryPath       string        // detection.history.path; empty: no history file
	HistorySize       int           // detection.history.events: number of events kept at least
}

// DefaultDetection returns the defaults of the settings that the failure detection file
// does not set.
func DefaultDetection() Detection {
	return Detection{
		HeartbeatInterval: time.Second,
		SuspectMin:        2500 * time.Millisecond,
		SuspectMax:        8 * time.Second,
		DeclareAfter:      6 * time.Second,
		ProbeTimeout:      time.Second,
		StallTimeout:      5 * time.Second,
		Revoke:            true,
		HistorySize:       1000,
	}
}

// Check returns a FieldError if the values of two fields are inconsistent.
func (d *Detection) Check() error {
	switch {
	case d.SuspectMin <= d.HeartbeatInterval:
		return Invalid("detection.suspect.min.ms", "must be larger than detection.heartbeat.ms")
	case d.SuspectMax < d.SuspectMin:
		return Invalid("detection.suspect.max.ms", "must not be smaller than detection.suspect.min.ms")
	case d.DeclareAfter <= d.SuspectMin:
		return Invalid("detection.declare.ms", "must be larger than detection.suspect.min.ms")
	}
	return nil
}

// DetectorConfig returns the configuration of this controller's failure detector. Callers
// must check first that failure detection is on (s.Detection is not nil).
func (s *Settings) DetectorConfig() detector.Config {
	d := s.Detection
	config := detector.Config{
		Self:              s.Controller,
		HeartbeatInterval: d.HeartbeatInterval,
		SuspectMin:        d.SuspectMin,
		SuspectMax:        d.SuspectMax,
		DeclareAfter:      d.DeclareAfter,
		ProbeTimeout:      d.ProbeTimeout,
	}
	for _, controller := range s.AllControllers() {
		config.Controllers = append(config.Controllers, controller.Controller)
	}
	return config
}
