package shard

import (
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
)

// PlanDrain says what a drain would do in this shard.
func (c *Core) PlanDrain(now time.Time, s *records.Selection) drain.ShardPlan {
	p := drain.ShardPlan{Shard: c.cfg.Shard, MovesByBudget: map[string]int{}, BudgetUsage: c.Usage(now)}
	promised := c.draining.reservedForMigrations()
	for _, m := range c.selectedMachines(s) {
		p.Machines++
		if c.usageOf(m).active == 0 {
			p.EmptyMachines++
			continue
		}
		for _, a := range m.attempts {
			if t := c.taskOf(a); t != nil && t.attempt == a && !a.hasExited() {
				c.planTaskMigration(now, &p, t, promised)
			}
		}
	}
	if p.Machines > 0 {
		atOnce := c.draining.cfg.Policy.MaxCordoned(len(c.fleet))
		p.Rounds = (p.Machines + atOnce - 1) / atOnce
	}
	return p
}

// planTaskMigration adds what is known of one task's move.
func (c *Core) planTaskMigration(now time.Time, p *drain.ShardPlan, t *task, promised map[*machine]resources) {
	s := &t.job.rec.Spec
	if !s.IsService() {
		p.ArrayTasks++
		return
	}
	keys := c.draining.budgetsOf(t.job)
	if len(keys) == 0 {
		p.MovesByBudget[""]++
	}
	for _, k := range keys {
		p.MovesByBudget[k.String()]++
	}
	obstacle := func(why string, permanent bool) {
		if len(p.Obstacles) < constants.MaxDrainMachineNames {
			p.Obstacles = append(p.Obstacles, drain.Obstacle{JobID: s.ID, Machine: t.attempt.machine.name, Reason: why, IsPermanent: permanent})
		}
	}
	if refused := c.draining.ledger.Check(now, keys); refused != nil && refused.Reason == disruption.ReasonNeverAllowed {
		obstacle(refused.Error(), true)
	} else if !c.cheapestOffer(&c.fleetView, now, s).isAvailable() && c.migrationTarget(&c.fleetView, now, s, promised) == nil {
		obstacle("no machine has room for it, and none can be rented now", false)
	}
}

// DrainProgress is how far the drains have come in this shard.
func (c *Core) DrainProgress() []drain.ShardProgress {
	if c.draining == nil {
		return nil
	}
	var out []drain.ShardProgress
	for _, number := range c.draining.drainNumbers() {
		out = append(out, c.draining.progress(&c.fleetView, number, c.draining.drains[number]))
	}
	return out
}

func (d *draining) progress(v *fleetView, number int, s *drain.ShardDrain) drain.ShardProgress {
	p := drain.ShardProgress{Drain: number, Shard: v.cfg.Shard, WaitingFor: d.waitReasons[number], ConsecutiveFailures: s.ConsecutiveFailures()}
	for _, m := range v.selectedMachines(&s.Record().Selection) {
		p.Remaining++
		if m.cordon != nil && m.cordon.drain == number && len(p.Cordoned) < constants.MaxDrainMachineNames {
			p.Cordoned = append(p.Cordoned, m.name)
		}
	}
	for _, m := range d.migrations {
		if m.drain == number {
			p.MovingTasks++
		}
	}
	return p
}

// Usage is how much of the budgets is used, as the owner knows it.
func (c *Core) Usage(now time.Time) []disruption.Usage {
	if c.draining == nil {
		return nil
	}
	return c.draining.ledger.Usage(now)
}
