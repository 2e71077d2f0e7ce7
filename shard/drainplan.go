package shard

import (
	"errors"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
)

// ErrDrainingNotStarted says that the owner does not drain machines, because draining is off
// in its settings.
var ErrDrainingNotStarted = errors.New("shard: draining was not started")

// PlanDrain returns what a drain with a selection would do in this shard. The only error it
// returns is ErrDrainingNotStarted.
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

// planTask adds a task to a plan, and the obstacle to the task's migration if there is one.
func (c *Core) planTask(now time.Time, p *drain.ShardPlan, t *task, reserved map[*machine]resources) {
	if !t.job.record.Spec.IsService() {
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

// migrationObstacle returns what prevents the migration of a service's task: the task's
// budgets never allow the stop, or no machine has capacity for the task and the shard cannot
// scale out. It returns nil if neither applies.
func (c *Core) migrationObstacle(now time.Time, t *task, reserved map[*machine]resources) *drain.Obstacle {
	s := &t.job.record.Spec
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

// DrainProgress returns the progress of the drains in this shard.
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

// progress returns the progress of one drain in this shard.
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

// Usage returns the use of the disruption budgets as far as the owner knows it.
func (c *Core) Usage(now time.Time) []disruption.Usage {
	if c.draining == nil {
		return nil
	}
	return c.draining.ledger.Usage(now)
}
