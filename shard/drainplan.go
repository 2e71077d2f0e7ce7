package shard

import (
	"errors"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
)

// ErrDrainingNotStarted says that the owner does not drain: draining is off in its settings.
var ErrDrainingNotStarted = errors.New("shard: draining was not started")

// PlanDrain says what a drain with a selection would do in this shard. The error is
// ErrDrainingNotStarted.
func (c *Core) PlanDrain(now time.Time, s *records.Selection) (drain.ShardPlan, error) {
	if c.draining == nil {
		return drain.ShardPlan{}, ErrDrainingNotStarted
	}
	p := drain.ShardPlan{Shard: c.cfg.Shard, MovesByBudget: map[string]int{}, BudgetUsage: c.Usage(now)}
	reserved := c.draining.reservedForMigrations()
	for _, m := range c.selectedMachines(s) {
		p.Machines++
		if c.usageOf(m).active == 0 {
			p.EmptyMachines++
			continue
		}
		for _, a := range m.attempts {
			t := c.taskOf(a)
			if t != nil && t.attempt == a && !a.hasExited() {
				c.planTask(now, &p, t, reserved)
			}
		}
	}
	if p.Machines > 0 {
		maxCordoned := c.draining.cfg.Policy.MaxCordoned(len(c.fleet))
		p.Rounds = (p.Machines + maxCordoned - 1) / maxCordoned
	}
	return p, nil
}

// planTask adds a task to a plan, with the obstacle to its migration if there is one.
func (c *Core) planTask(now time.Time, p *drain.ShardPlan, t *task, reserved map[*machine]resources) {
	if !t.job.rec.Spec.IsService() {
		p.ArrayTasks++
		return
	}
	budgets := c.draining.budgetsOf(t.job)
	if len(budgets) == 0 {
		p.MovesByBudget[""]++
	}
	for _, b := range budgets {
		p.MovesByBudget[b.String()]++
	}
	obstacle := c.migrationObstacle(now, t, reserved)
	if obstacle != nil && len(p.Obstacles) < constants.MaxDrainMachineNames {
		p.Obstacles = append(p.Obstacles, *obstacle)
	}
}

// migrationObstacle is what stands in the way of a service's task, nil if nothing does: its
// budgets never let it stop, or there is and will be no capacity for it.
func (c *Core) migrationObstacle(now time.Time, t *task, reserved map[*machine]resources) *drain.Obstacle {
	s := &t.job.rec.Spec
	obstacle := &drain.Obstacle{JobID: s.ID, Machine: t.attempt.machine.name}
	refusal := c.draining.ledger.Check(now, c.draining.budgetsOf(t.job))
	if refusal != nil && refusal.Reason == disruption.ReasonNeverAllowed {
		obstacle.Reason = refusal.Error()
		obstacle.IsPermanent = true
		return obstacle
	}
	canScaleOut := c.cheapestOffer(&c.fleetView, now, s).isAvailable()
	if canScaleOut || c.migrationTarget(&c.fleetView, now, s, reserved) != nil {
		return nil
	}
	obstacle.Reason = errNoOfferForDrain.Error()
	return obstacle
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

// progress is how far one drain has come in this shard.
func (d *draining) progress(v *fleetView, number int, s *drain.ShardDrain) drain.ShardProgress {
	p := drain.ShardProgress{Drain: number, Shard: v.cfg.Shard, WaitingFor: d.waitReasons[number], ConsecutiveFailures: s.ConsecutiveFailures()}
	for _, m := range v.selectedMachines(&s.Record().Selection) {
		p.Remaining++
		if m.isCordonedBy(number) && len(p.Cordoned) < constants.MaxDrainMachineNames {
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

// Usage is the use of the disruption budgets as far as the owner knows it.
func (c *Core) Usage(now time.Time) []disruption.Usage {
	if c.draining == nil {
		return nil
	}
	return c.draining.ledger.Usage(now)
}
