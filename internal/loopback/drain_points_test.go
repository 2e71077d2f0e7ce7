package loopback

import (
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// pointPollInterval is the time between two checks whether a point of a step is reached.
const pointPollInterval = 5 * time.Millisecond

// drainPoint is a point of a drain's step, as it is seen from outside the controllers.
type drainPoint struct {
	name string
	// zoneAt returns a zone in which a drain has come to the point since the figures were
	// taken; empty: there is none.
	zoneAt func(t *testing.T, f *fleet, number int, before disruptioncheck.Figures) string
}

// drainPoints are the points of a step in their order.
var drainPoints = []drainPoint{
	{"before the grant", func(t *testing.T, f *fleet, number int, _ disruptioncheck.Figures) string {
		for _, progress := range f.drainView(t, number).Shards {
			if len(progress.Cordoned) > 0 {
				return progress.Shard
			}
		}
		return ""
	}},
	{"after the grant", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.store.zoneWithClaim() }},
	{"after the stop", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.disruptionFigures().Stops == before.Stops {
			return ""
		}
		return f.machineZone(f.observer.lastStop())
	}},
	{"after the replacement's start", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.disruptionFigures().Replaced == before.Replaced {
			return ""
		}
		return f.machineZone(f.observer.lastStart())
	}},
	{"after the close", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string {
		return f.store.zoneWithTerminatingMachine()
	}},
	{"at the return", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.cloud.lastScaleIn() }},
}
