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
	// SuspectMin and SuspectMax bound the silence after which a controller that
	// answers no probe is suspected.
	SuspectMin, SuspectMax time.Duration
	// DeclareAfter is how old evidence must be before a controller is declared
	// failed on it.
	DeclareAfter time.Duration
	// ProbeTimeout is after which time without an answer a probe has failed.
	ProbeTimeout time.Duration
}

// ErrInvalidConfig is what every ConfigError wraps.
var ErrInvalidConfig = errors.New("detector: bad configuration")

// ConfigError is a configuration that cannot work.
type ConfigError struct {
	Field  string // of Config
	Reason string
}

func (e *ConfigError) Error() string { return ErrInvalidConfig.Error() + ": " + e.Reason }

// Unwrap returns ErrInvalidConfig.
func (e *ConfigError) Unwrap() error { return ErrInvalidConfig }

// Validate returns a *ConfigError for the first field that cannot work, if there is one.
func (c Config) Validate() error {
	switch {
	case !slices.Contains(c.Controllers, c.Self):
		return &ConfigError{"Self", strconv.Quote(c.Self) + " is not a member"}
	case c.HeartbeatInterval <= 0:
		return &ConfigError{"HeartbeatInterval", intervalReason}
	case c.ProbeTimeout <= 0:
		return &ConfigError{"ProbeTimeout", intervalReason}
	case c.SuspectMin <= c.HeartbeatInterval:
		return &ConfigError{"SuspectMin", "suspicion must take longer than an interval"}
	case c.SuspectMax < c.SuspectMin:
		return &ConfigError{"SuspectMax", "the suspicion's upper bound is below its lower one"}
	case c.DeclareAfter <= c.SuspectMin:
		return &ConfigError{"DeclareAfter", "declaration must take longer than suspicion"}
	}
	return nil
}

const intervalReason = "interval and probe timeout must be larger than 0"
