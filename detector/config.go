package detector

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// Config is a detector's configuration.
type Config struct {
	Self        string
	Controllers []string // names of all configured controllers, Self among them
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// SuspectMin and SuspectMax bound the suspicion timeout: the time without an answer
	// after which a controller whose probes have failed is suspected.
	SuspectMin, SuspectMax time.Duration
	// DeclareAfter is the minimum age of the evidence on which a controller is declared
	// failed.
	DeclareAfter time.Duration
	// ProbeTimeout is the time without an answer after which a probe has failed.
	ProbeTimeout time.Duration
}

// ErrInvalidConfig is wrapped by every ConfigError.
var ErrInvalidConfig = errors.New("detector: invalid configuration")

// ConfigError reports a field of Config with an invalid value.
type ConfigError struct {
	Field  string // of Config
	Reason string
}

func (e *ConfigError) Error() string { return ErrInvalidConfig.Error() + ": " + e.Reason }

// Unwrap returns ErrInvalidConfig.
func (e *ConfigError) Unwrap() error { return ErrInvalidConfig }

// Validate returns a *ConfigError for the first invalid field, or nil if the
// configuration is valid.
func (c Config) Validate() error {
	switch {
	case !slices.Contains(c.Controllers, c.Self):
		return &ConfigError{"Self", strconv.Quote(c.Self) + " is not one of the configured controllers"}
	case c.HeartbeatInterval <= 0:
		return &ConfigError{"HeartbeatInterval", intervalReason}
	case c.ProbeTimeout <= 0:
		return &ConfigError{"ProbeTimeout", intervalReason}
	case c.SuspectMin <= c.HeartbeatInterval:
		return &ConfigError{"SuspectMin", "the lower bound of the suspicion timeout must be greater than the heartbeat interval"}
	case c.SuspectMax < c.SuspectMin:
		return &ConfigError{"SuspectMax", "the upper bound of the suspicion timeout is below its lower bound"}
	case c.DeclareAfter <= c.SuspectMin:
		return &ConfigError{"DeclareAfter", "the declaration delay must be greater than the lower bound of the suspicion timeout"}
	}
	return nil
}

const intervalReason = "the heartbeat interval and the probe timeout must be greater than 0"
