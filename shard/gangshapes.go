package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// gangShape is a gang whose like was seen lately, in this shard or another.
type gangShape struct {
	spec     wire.Submission
	lastSeen time.Time
}

// recordGangShape remembers the shape of a gang, whichever shard has it: the leader wants
// to know whether a gang of that shape would start here.
func (g *gangReserves) recordGangShape(now time.Time, rec *records.Job) {
	if !rec.Spec.IsGang() || rec.End != "" {
		return
	}
	key := leader.GangShape(&rec.Spec)
	_, isKnown := g.gangShapes[key]
	if !isKnown && len(g.gangShapes) >= constants.MaxGangShapes {
		delete(g.gangShapes, g.oldestGangShape())
	}
	g.gangShapes[key] = gangShape{rec.Spec, now}
}

// oldestGangShape is the key of the shape that was seen the longest ago, the first by key
// of several.
func (g *gangReserves) oldestGangShape() string {
	oldestKey := ""
	var oldest time.Time
	isFirst := true
	for key, shape := range g.gangShapes {
		if isFirst || shape.lastSeen.Before(oldest) || shape.lastSeen.Equal(oldest) && key < oldestKey {
			oldestKey = key
			oldest = shape.lastSeen
			isFirst = false
		}
	}
	return oldestKey
}

// gangCapacity is how many tasks of a gang would start now, and how many of them on
// machines that hold its image.
func (v *fleetView) gangCapacity(now time.Time, s *wire.Submission) leader.GangCapacity {
	demand := taskResources(s)
	var capacity leader.GangCapacity
	for _, m := range v.fleet {
		if m.consolidating || !isEligible(s, m.typeName, m.spot) || !v.isSchedulable(now, m) {
			continue
		}
		count := v.freeResources(m).countFitting(demand)
		capacity.Now += count
		if m.cachedImages[s.Image] {
			capacity.Warm += count
		}
	}
	return capacity
}
