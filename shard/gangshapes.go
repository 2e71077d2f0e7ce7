package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// gangShape is a gang that was seen recently, in this shard or another. It stands for
// all gangs with the same key by leader.GangShape.
type gangShape struct {
	spec     wire.Submission
	lastSeen time.Time
}

// recordGangShape records the shape of a gang in any shard: the leader needs to know
// whether a gang of that shape would start here.
func (g *gangReserves) recordGangShape(now time.Time, record *records.Job) {
	if !record.Spec.IsGang() || record.End != "" {
		return
	}
	key := leader.GangShape(&record.Spec)
	_, isKnown := g.gangShapes[key]
	if !isKnown && len(g.gangShapes) >= constants.MaxGangShapes {
		delete(g.gangShapes, g.oldestGangShape())
	}
	g.gangShapes[key] = gangShape{record.Spec, now}
}

// oldestGangShape returns the key of the shape that was seen the longest ago, and among
// several such shapes the first key.
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

// gangCapacity returns how many tasks of a gang would start now, and how many of those
// on machines that hold its image.
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
