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
		total += c.prodRoom(m)
		if m.draining {
			draining++
		}
		for _, h := range m.holds {
			if h.stop && !h.exited() {
				moving++
			}
		}
	}
	most := 1 + len(ms)/constants.MachinesPerMigration
	if moving >= most || len(ms) < 2 || c.unplacedDemand.cpus > 0 {
		return
	}
	sort.Slice(ms, func(a, b int) bool {
		if x, y := c.sumsOf(ms[a]).used.cpus, c.sumsOf(ms[b]).used.cpus; x != y {
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
			if m.draining {
				m.draining = false
				draining--
			}
			m.spareSince = time.Time{}
			continue
		}
		if looked++; looked > 4*most || !c.isRedundant(m, others) {
			if m.draining {
				m.draining = false
				draining--
			}
			m.spareSince = time.Time{}
			continue
		}
		total -= m.capacity.cpus
		switch {
		case m.draining:
			if moving < most && c.migrateOneService(now, m) {
				moving++
			}
		case m.spareSince.IsZero():
			m.spareSince = now
		case now.Sub(m.spareSince) > constants.RedundantFor && draining < most:
			slog.Info("draining machine", "machine", m.name, "cpus", c.sumsOf(m).used.cpus)
			m.draining = true
			draining++
		}
	}
}

// isRedundant says whether all that is on a machine would fit on others with room,
// services on ordinary ones that hold their image.
func (k *knowledge) isRedundant(m *machine, others []*machine) bool {
	taken := map[*machine]resources{}
	for _, h := range m.holds {
		t := k.taskOf(h)
		if h.exited() || t == nil {
			continue
		}
		s := &t.job.rec.Spec
		var to *machine
		var left float64
		for _, o := range others {
			if o == m || o.draining || s.IsService() && !o.images[s.Image] || !isEligible(s, o.typeName, o.spot) {
				continue
			}
			free := k.free(o).minus(taken[o])
			if h.needs.fits(free) && (to == nil || free.cpus < left || free.cpus == left && o.name < to.name) {
				to, left = o, free.cpus
			}
		}
		if to == nil {
			return false
		}
		taken[to] = taken[to].plus(h.needs)
	}
	return true
}

// migrateOneService stops one service of a draining machine; it starts again at once
// where there is room for it.
func (c *Core) migrateOneService(now time.Time, m *machine) bool {
	for _, h := range m.holds {
		t := c.taskOf(h)
		if h.state != wire.TaskRunning || t == nil || t.hold != h || h.stop || !t.job.rec.Spec.IsService() || !h.instant {
			continue
		}
		if to := c.bestFit(now, &t.job.rec.Spec, nil); to != nil && !to.draining && to.images[t.job.rec.Spec.Image] && c.draining.allowsConsolidation(now, t) {
			c.evict(h)
			slog.Debug("moving service", "task", h.key.task, "from", m.name, "to", to.name)
			return true
		}
	}
	return false
}
