package settings

import "time"

// Operator holds the operators' own settings. The comment on each field names its properties
// key.
type Operator struct {
	LeaseTTL            time.Duration // membership.lease.ms: lifetime of a controller's lease
	SpotIdleTimeout     time.Duration // rent.idle.spot.s: how long an idle spot instance is kept
	OnDemandIdleTimeout time.Duration // rent.idle.ordinary.s: how long an idle on-demand instance is kept
	UseSpot             bool          // rent.spot: whether spot instances are used at all
}

// DefaultOperator returns the defaults of the settings that the operators do not set.
func DefaultOperator() Operator {
	return Operator{
		LeaseTTL:            3500 * time.Millisecond,
		SpotIdleTimeout:     30 * time.Second,
		OnDemandIdleTimeout: 60 * time.Second,
		UseSpot:             true,
	}
}
