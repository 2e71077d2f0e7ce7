package load

import (
	"testing"
	"time"
)

func TestOperatorsSettings(t *testing.T) {
	o, err := ParseOperator([]byte("# ours\nmembership.lease.ms = 6000\nrent.spot: false\nrent.idle.spot.s=12.5\n"))
	if err != nil || o.LeaseTTL != 6*time.Second || o.UseSpot || o.SpotIdleTimeout != 12500*time.Millisecond {
		t.Fatalf("%+v, %v", o, err)
	}
	for field, text := range map[string]string{
		"membership.lease.ms": "membership.lease.ms = soon",
		"rent.spot":           "rent.spot = maybe",
		"rent.idle.spot.s":    "rent.idle.spot.s = -1",
	} {
		_, err := ParseOperator([]byte(text))
		wantFieldError(t, err, field, text)
	}
}
