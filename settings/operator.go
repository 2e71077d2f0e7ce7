package settings

import "time"

// Operator holds the operators' own settings; beside each field stands its properties key.
type Operator struct {
	LeaseTTL            time.Duration // membership.lease.ms: life of a controller's lease
	SpotIdleTimeout     time.Duration // rent.idle.spot.s: how long an idle spot instance is kept
	OnDemandIdleTimeout time.Duration // rent.idle.ordinary.s: the same for on-demand instances
	UseSpot             bool          // rent.spot: whether spot instances are used at all
}

// DefaultOperator returns what applies where the operators set nothing.
func DefaultOperator() Operator {
	return Operator{
		LeaseTTL:            3500 * time.Millisecond,
		SpotIdleTimeout:     30 * time.Second,
		OnDemandIdleTimeout: 60 * time.Second,
		UseSpot:             true,
	}
}
