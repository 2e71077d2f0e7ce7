package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/settings"
)

// evictFromNoticedMachines moves work off machines that the cloud is about to take: what
// can save is told to in time, services and arrays that will not be done start
// again elsewhere while there is room.
func (q *outgoing) evictFromNoticedMachines(v *fleetView, now time.Time) {
	for _, m := range v.fleet {
		if m.notice.IsZero() || m.returning || !m.up {
			continue
		}
		left := m.notice.Sub(now)
		moves := 0
		for _, h := range m.holds {
			t := v.taskOf(h)
			if !isEvictable(h, t) || moves >= constants.MaxReclaimEvictions {
				continue
			}
			s := &t.job.rec.Spec
			if t.job.gang != nil {
				// It saves whole, at the last moment at which all can be told, or
				// is left to end by itself.
				if !h.instant && left <= v.grace(h)+v.cfg.GangPeer+constants.ReclaimMargin {
					q.stopGangWithCheckpoint(t.job, "a machine will be taken back")
				}
				continue
			}
			ends := settings.Seconds(s.EstimateS)
			if !h.runSince.IsZero() {
				ends -= now.Sub(h.runSince)
			}
			switch {
			case !h.instant && left > v.grace(h)+constants.ReclaimMargin:
				continue // it saves at the last moment
			case !h.instant:
			case !s.IsService() && float64(ends) < constants.ReclaimRuntimeFactor*float64(left):
				continue // it may well be done before
			case v.bestFit(now, s, nil) == nil:
				continue
			}
			q.evict(h)
			moves++
		}
	}
}
