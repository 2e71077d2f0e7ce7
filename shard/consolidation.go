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

// consolidationRound is the state of one run of consolidate.
type consolidationRound struct {
	machines       []*machine // schedulable on-demand machines
	productionCPUs float64    // CPUs for production work on the machines not yet found redundant
	migrating      int        // stopping tasks on the machines
	consolidating  int        // machines whose services are being migrated
	limit          int        // limit on concurrently migrating tasks, and on concurrently consolidated machines
}

// consolidate empties redundant on-demand machines, by migrating services one at a time to
// machines that have cached their image. A migration interrupts the service's task briefly,
// but saves the cost of a machine: a machine with one service costs as much as a full one.
// The limit on concurrent migrations grows with the shard.
func (c *Core) consolidate(now time.Time) {
	if !c.rebuilt || !c.consolidationPace.due(now, constants.ConsolidationInterval) {
		return
	}
	round := c.newConsolidationRound(now)
	if round.migrating >= round.limit || len(round.machines) < 2 || c.unplacedDemand.cpus > 0 {
		return
	}
	c.sortLeastUsedFirst(round.machines)
	required := c.targetProductionReserve(&c.fleetView, now) + c.productionArrivals.largest.cpus + c.gangReserveCPUs
	others := c.machinesWithFreeCapacity(now)
	searches := 0
	for _, m := range round.machines {
		// A machine is redundant if the shard keeps its reserves without the machine, and
		// if the machine's attempts fit on other machines. The capacity of machines that
		// were found redundant earlier in this round no longer counts.
		if round.productionCPUs-m.capacity.cpus < required {
			round.markNotRedundant(m)
			continue
		}
		searches++
		if searches > 4*round.limit || !c.isRedundant(m, others) {
			round.markNotRedundant(m)
			continue
		}
		round.productionCPUs -= m.capacity.cpus
		c.consolidateMachine(now, m, round)
	}
}

// newConsolidationRound lists the schedulable on-demand machines and sums up their state.
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

// markNotRedundant ends the consolidation of a machine that is not redundant.
func (r *consolidationRound) markNotRedundant(m *machine) {
	if m.consolidating {
		m.consolidating = false
		r.consolidating--
	}
	m.redundantSince = time.Time{}
}

// consolidateMachine migrates one service from a redundant machine that is being
// consolidated. Consolidation of a machine begins once the machine has been redundant for
// longer than constants.MinRedundantTime.
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

// sortLeastUsedFirst sorts machines by their used CPUs, in ascending order.
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

// isRedundant reports whether all attempts on a machine would fit on other machines with free
// capacity. A service fits only on a machine that has cached its image.
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

// tightestFit returns the machine among others with the fewest free CPUs, less the resources
// in taken, on which an attempt from machine m would fit. It returns nil if there is none.
func (k *knownState) tightestFit(m *machine, a *attempt, t *task, others []*machine, taken map[*machine]resources) *machine {
	s := &t.job.record.Spec
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

// migrateOneService stops one service's task on a machine that is being consolidated, if
// another machine that has cached the image has capacity for the task now and the task's
// disruption budgets allow the stop. It reports whether it stopped a task.
func (c *Core) migrateOneService(now time.Time, m *machine) bool {
	for _, a := range m.attempts {
		t := c.taskOf(a)
		if a.state != wire.TaskRunning || !isEvictable(a, t) || !t.job.record.Spec.IsService() || !a.stopsInstantly {
			continue
		}
		s := &t.job.record.Spec
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
