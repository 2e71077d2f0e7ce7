package shard

import (
	"log/slog"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// consolidation limits how often services are migrated to make machines empty.
type consolidation struct{ consolidationPace pace }

// consolidationRound is one step of consolidation.
type consolidationRound struct {
	machines       []*machine // schedulable on-demand machines
	productionCPUs float64    // what production work can have of those that stay (CPUs)
	migrating      int        // tasks on them that are stopping
	consolidating  int        // machines whose services are being migrated
	limit          int        // how many tasks may migrate, and machines be consolidated, at once
}

// consolidate makes on-demand machines empty that the shard can do without, by migrating
// services one at a time to machines that hold their image: a service is down for a moment,
// while a machine with one service on it costs as much as a full one. How many services
// migrate at once grows with the shard.
func (c *Core) consolidate(now time.Time) {
	if !c.rebuilt || !c.consolidationPace.due(now, constants.ConsolidationInterval) {
		return
	}
	r := c.newConsolidationRound(now)
	if r.migrating >= r.limit || len(r.machines) < 2 || c.unplacedDemand.cpus > 0 {
		return
	}
	c.sortLeastUsedFirst(r.machines)
	required := c.productionReserve(&c.fleetView, now) + c.productionArrivals.largest.cpus + c.gangReserveCPUs
	others := c.machinesWithFreeCapacity(now)
	searches := 0
	for _, m := range r.machines {
		// Without the machine the shard must keep its reserves, and have capacity for
		// what is on it. Those found redundant before count as gone.
		if r.productionCPUs-m.capacity.cpus < required {
			r.keep(m)
			continue
		}
		searches++
		if searches > 4*r.limit || !c.isRedundant(m, others) {
			r.keep(m)
			continue
		}
		r.productionCPUs -= m.capacity.cpus
		c.consolidateMachine(now, m, r)
	}
}

// newConsolidationRound sums up the schedulable on-demand machines.
func (c *Core) newConsolidationRound(now time.Time) *consolidationRound {
	r := &consolidationRound{}
	for _, m := range c.fleet {
		if m.spot || !c.isSchedulable(now, m) {
			m.redundantSince = time.Time{}
			continue
		}
		r.machines = append(r.machines, m)
		r.productionCPUs += c.productionCPUs(m)
		if m.consolidating {
			r.consolidating++
		}
		for _, a := range m.attempts {
			if a.stopRequested && !a.hasExited() {
				r.migrating++
			}
		}
	}
	r.limit = 1 + len(r.machines)/constants.MachinesPerMigration
	return r
}

// keep ends the consolidation of a machine that is not redundant.
func (r *consolidationRound) keep(m *machine) {
	if m.consolidating {
		m.consolidating = false
		r.consolidating--
	}
	m.redundantSince = time.Time{}
}

// consolidateMachine migrates a service off a redundant machine, or begins to consolidate
// the machine once it has been redundant for long enough.
func (c *Core) consolidateMachine(now time.Time, m *machine, r *consolidationRound) {
	switch {
	case m.consolidating:
		if r.migrating < r.limit && c.migrateOneService(now, m) {
			r.migrating++
		}
	case m.redundantSince.IsZero():
		m.redundantSince = now
	case now.Sub(m.redundantSince) > constants.MinRedundantTime && r.consolidating < r.limit:
		slog.Info("consolidating machine", logkey.Machine, m.name, "cpus", c.usageOf(m).used.cpus)
		m.consolidating = true
		r.consolidating++
	}
}

// sortLeastUsedFirst sorts machines by their used CPUs.
func (k *knownState) sortLeastUsedFirst(machines []*machine) {
	sort.Slice(machines, func(i, j int) bool {
		a, b := machines[i], machines[j]
		usedA, usedB := k.usageOf(a).used.cpus, k.usageOf(b).used.cpus
		if usedA != usedB {
			return usedA < usedB
		}
		return a.name > b.name
	})
}

// isRedundant says whether everything on a machine would fit on others with free capacity:
// services on those that hold their image.
func (k *knownState) isRedundant(m *machine, others []*machine) bool {
	taken := map[*machine]resources{}
	for _, a := range m.attempts {
		t := k.taskOf(a)
		if a.hasExited() || t == nil {
			continue
		}
		target := k.tightestFit(m, a, t, others, taken)
		if target == nil {
			return false
		}
		taken[target] = taken[target].plus(a.resources)
	}
	return true
}

// tightestFit is the machine with the fewest free CPUs, beside what is taken, on which an
// attempt would fit if it left its machine; nil: there is none.
func (k *knownState) tightestFit(m *machine, a *attempt, t *task, others []*machine, taken map[*machine]resources) *machine {
	s := &t.job.rec.Spec
	var best *machine
	var least float64
	for _, o := range others {
		if o == m || o.consolidating || s.IsService() && !o.cachedImages[s.Image] || !isEligible(s, o.typeName, o.spot) {
			continue
		}
		free := k.freeResources(o).minus(taken[o])
		if !a.resources.fits(free) {
			continue
		}
		if best == nil || free.cpus < least || free.cpus == least && o.name < best.name {
			best = o
			least = free.cpus
		}
	}
	return best
}

// migrateOneService stops one service on a machine that is being consolidated, if another
// machine that holds its image can take it at once and its budgets allow it.
func (c *Core) migrateOneService(now time.Time, m *machine) bool {
	for _, a := range m.attempts {
		t := c.taskOf(a)
		if a.state != wire.TaskRunning || !isEvictable(a, t) || !t.job.rec.Spec.IsService() || !a.stopsInstantly {
			continue
		}
		s := &t.job.rec.Spec
		target := c.bestFit(now, s, nil)
		if target == nil || target.consolidating || !target.cachedImages[s.Image] || !c.draining.allowsConsolidation(now, t) {
			continue
		}
		c.evict(a)
		slog.Debug("migrating service", logkey.TaskID, a.key.task, "from", m.name, "target", target.name)
		return true
	}
	return false
}
