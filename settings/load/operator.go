package load

import (
	"time"

	"ravenport/settings"
)

// Bounds of the operators' own settings.
var (
	leaseMillisecondBounds = floatBounds{2000, 60_000}
	idleSecondBounds       = floatBounds{0, 86_400} // up to one day
)

// ParseOperator parses and checks the text of the operators' own settings.
func ParseOperator(text []byte) (settings.Operator, error) {
	o := settings.DefaultOperator()
	p, err := parseProperties("properties", text)
	if err != nil {
		return o, err
	}
	if o.UseSpot, err = readBool(p, "rent.spot", o.UseSpot); err != nil {
		return o, err
	}
	leaseMS, err := readFloat(p, "membership.lease.ms", float64(o.LeaseTTL.Milliseconds()), leaseMillisecondBounds)
	if err != nil {
		return o, err
	}
	o.LeaseTTL = time.Duration(leaseMS) * time.Millisecond // whole milliseconds
	idleSpotS, err := readFloat(p, "rent.idle.spot.s", o.SpotIdleTimeout.Seconds(), idleSecondBounds)
	if err != nil {
		return o, err
	}
	o.SpotIdleTimeout = settings.Seconds(idleSpotS)
	idleOnDemandS, err := readFloat(p, "rent.idle.ordinary.s", o.OnDemandIdleTimeout.Seconds(), idleSecondBounds)
	if err != nil {
		return o, err
	}
	o.OnDemandIdleTimeout = settings.Seconds(idleOnDemandS)
	return o, nil
}
