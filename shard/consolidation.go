package shard

import (
	"log/slog"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// consolidation is how often services are moved to do without machines.
type consolidation struct{ consolidationPace pace }

// consolidate empties ordinary machines that the shard can do without, by
// moving services one at a time to machines that hold their image: a service
// is away for a moment, while a machine with one service on it costs as much
// as a full one. How many are emptied at once grows with the shard.
func (c *Core) consolidate(now time.Time) {
	if !c.rebuilt || !c.consolidationPace.due(now, constants.ConsolidationInterval) {
		return
	}
	var ms []*machine
	moving, draining := 0, 0
	total := 0.0
	for _, m := range c.fleet {
		if m.spot || !c.isSchedulable(now, m) {
			m.spareSince = time.Time{}
			continue
		}
		ms = append(ms, m)
		total += c.productionCPUs(m)
		if m.consolidating {
			draining++
		}
		for _, att := range m.attempts {
			if att.stopRequested && !att.hasExited() {
				moving++
			}
		}
	}
	most := 1 + len(ms)/constants.MachinesPerMigration
	if moving >= most || len(ms) < 2 || c.unplacedDemand.cpus > 0 {
		return
	}
	sort.Slice(ms, func(a, b int) bool {
		if x, y := c.usageOf(ms[a]).used.cpus, c.usageOf(ms[b]).used.cpus; x != y {
			return x < y
		}
		return ms[a].name > ms[b].name
	})
	keep := c.productionReserve(&c.fleetView, now) + c.productionArrivals.largest.cpus + c.gangReserveCPUs
	others := c.machinesWithFreeCapacity(now)
	looked := 0
	for _, m := range ms {
		// Without it the shard must keep its room ready, and have room for what
		// is on it; those emptied already count as gone.
		if total-m.capacity.cpus < keep {
			if m.consolidating {
				m.consolidating = false
				draining--
			}
			m.spareSince = time.Time{}
			continue
		}
		if looked++; looked > 4*most || !c.isRedundant(m, others) {
			if m.consolidating {
				m.consolidating = false
				draining--
			}
			m.spareSince = time.Time{}
			continue
		}
		total -= m.capacity.cpus
		switch {
		case m.consolidating:
			if moving < most && c.migrateOneService(now, m) {
				moving++
			}
		case m.spareSince.IsZero():
			m.spareSince = now
		case now.Sub(m.spareSince) > constants.RedundantFor && draining < most:
			slog.Info("draining machine", "machine", m.name, "cpus", c.usageOf(m).used.cpus)
			m.consolidating = true
			draining++
		}
	}
}

// isRedundant says whether all that is on a machine would fit on others with room,
// services on ordinary ones that hold their image.
func (k *knownState) isRedundant(m *machine, others []*machine) bool {
	taken := map[*machine]resources{}
	for _, a := range m.attempts {
		t := k.taskOf(a)
		if a.hasExited() || t == nil {
			continue
		}
		s := &t.job.rec.Spec
		var to *machine
		var left float64
		for _, o := range others {
			if o == m || o.consolidating || s.IsService() && !o.cachedImages[s.Image] || !isEligible(s, o.typeName, o.spot) {
				continue
			}
			free := k.freeResources(o).minus(taken[o])
			if a.resources.fits(free) && (to == nil || free.cpus < left || free.cpus == left && o.name < to.name) {
				to, left = o, free.cpus
			}
		}
		if to == nil {
			return false
		}
		taken[to] = taken[to].plus(a.resources)
	}
	return true
}

// migrateOneService stops one service of a draining machine; it starts again at once
// where there is room for it.
func (c *Core) migrateOneService(now time.Time, m *machine) bool {
	for _, a := range m.attempts {
		t := c.taskOf(a)
		if a.state != wire.TaskRunning || t == nil || t.attempt != a || a.stopRequested || !t.job.rec.Spec.IsService() || !a.stopsInstantly {
			continue
		}
		if to := c.bestFit(now, &t.job.rec.Spec, nil); to != nil && !to.consolidating && to.cachedImages[t.job.rec.Spec.Image] && c.draining.allowsConsolidation(now, t) {
			c.evict(a)
			slog.Debug("moving service", "task", a.key.task, "from", m.name, "to", to.name)
			return true
		}
	}
	return false
}
