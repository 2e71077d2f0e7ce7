package loopback

import (
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// pointPollInterval is how often it is looked whether a point of a step is reached.
const pointPollInterval = 5 * time.Millisecond

// drainPoint is a point of a drain's step, as it is seen from outside.
type drainPoint struct {
	name string
	// zoneAt returns the zone in which a drain has come to the point since the figures
	// were taken; empty: none has.
	zoneAt func(t *testing.T, f *fleet, number int, before disruptioncheck.Figures) string
}

var drainPoints = []drainPoint{
	{"before the grant", func(t *testing.T, f *fleet, number int, _ disruptioncheck.Figures) string {
		for _, p := range f.drainView(t, number).Shards {
			if len(p.Cordoned) > 0 {
				return p.Shard
			}
		}
		return ""
	}},
	{"after the grant", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.store.zoneWithClaim() }},
	{"after the stop", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.disruptionFigures().Stops == before.Stops {
			return ""
		}
		return f.machineZone(f.observer.readMachine(&f.observer.lastStopMachine))
	}},
	{"after the replacement's start", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.disruptionFigures().Replaced == before.Replaced {
			return ""
		}
		return f.machineZone(f.observer.readMachine(&f.observer.lastStartMachine))
	}},
	{"after the close", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string {
		return f.store.zoneWithClosedMachine()
	}},
	{"at the return", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.cloud.lastScaleIn() }},
}
