package loopback

import (
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
)

// pointPollInterval is the interval at which tests check whether a drain has reached a
// point of a step.
const pointPollInterval = 5 * time.Millisecond

// drainPoint is a point of a drain's step. Tests detect it from outside the controllers.
type drainPoint struct {
	name string
	// zoneAt returns a zone in which a drain has reached the point since the figures were
	// read, or "" if there is no such zone.
	zoneAt func(t *testing.T, f *fleet, number int, before disruptioncheck.Figures) string
}

// drainPoints are the points of a step, in the order in which a drain reaches them.
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
