package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/settings"
)

// evictFromNoticedMachines moves work off machines that the cloud is about to take: what
// can save is told to in time, services and arrays that will not be done start
// again elsewhere while there is room.
func (q *outbox) evictFromNoticedMachines(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if m.reclaimAt.IsZero() || m.scalingIn || !m.up {
			continue
		}
		left := m.reclaimAt.Sub(now)
		moves := 0
		for _, a := range m.attempts {
			t := v.taskOf(a)
			if !isEvictable(a, t) || moves >= constants.MaxReclaimEvictions {
				continue
			}
			s := &t.job.rec.Spec
			if t.job.gang != nil {
				// It saves whole, at the last moment at which all can be told, or
				// is left to end by itself.
				if !a.stopsInstantly && left <= v.stopGrace(a)+v.cfg.GangPeerTimeout+constants.ReclaimMargin {
					q.stopGangWithCheckpoint(t.job, "a machine will be taken back")
				}
				continue
			}
			ends := settings.Seconds(s.EstimateS)
			if !a.runningSince.IsZero() {
				ends -= now.Sub(a.runningSince)
			}
			switch {
			case !a.stopsInstantly && left > v.stopGrace(a)+constants.ReclaimMargin:
				continue // it saves at the last moment
			case !a.stopsInstantly:
			case !s.IsService() && float64(ends) < constants.ReclaimRuntimeFactor*float64(left):
				continue // it may well be done before
			case v.bestFit(now, s, nil) == nil:
				continue
			}
			q.evict(a)
			moves++
		}
	}
}
