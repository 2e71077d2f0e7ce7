package shard

import "time"

// Summary is the state of a shard as its owner sees it, for operators.
type Summary struct {
	Rebuilt          bool    `json:"rebuilt"`
	Up               int     `json:"machines_up"`
	Spot             int     `json:"machines_spot"`
	Booting          int     `json:"machines_booting"`
	Unreachable      int     `json:"machines_silent"`
	Unconfirmed      int     `json:"machines_in_doubt"` // machines that send heartbeats but may not receive replies
	Consolidating    int     `json:"machines_draining"`
	ScalingIn        int     `json:"machines_returning"`
	ActiveAttempts   int     `json:"attempts"` // attempts that are or may be on machines
	Waiting          int     `json:"tasks_waiting"`
	WaitingCPUs      float64 `json:"waiting_cpus"`
	RefusedSpot      bool    `json:"spot_refused"` // the cloud recently refused a request for spot machines
	RefusedOnDemand  bool    `json:"ordinary_refused"`
	Partitioned      bool    `json:"out_of_reach"` // the shard's machines as a whole are unreachable
	ReservedForGangs float64 `json:"cpus_kept_for_gangs"`
}

// Summary counts the shard's machines, attempts and waiting tasks.
func (c *Core) Summary(now time.Time) Summary {
	summary := Summary{
		Rebuilt:          c.rebuilt,
		WaitingCPUs:      c.unplacedDemand.cpus,
		RefusedSpot:      c.hasRefusal(now, true),
		RefusedOnDemand:  c.hasRefusal(now, false),
		Partitioned:      c.partitioned,
		ReservedForGangs: c.gangReserveCPUs,
	}
	for _, m := range c.fleet {
		switch {
		case m.scalingIn:
			summary.ScalingIn++
		case !m.up:
			summary.Booting++
		default:
			summary.Up++
			if m.spot {
				summary.Spot++
			}
			if c.isUnreachable(now, m) {
				summary.Unreachable++
			}
			if m.isUnconfirmed() {
				summary.Unconfirmed++
			}
			if m.consolidating {
				summary.Consolidating++
			}
		}
		summary.ActiveAttempts += c.usageOf(m).active
	}
	c.refreshWaiting(&c.fleetView)
	for j := range c.waiting {
		summary.Waiting += len(j.waiting)
	}
	return summary
}
