package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
	"ravenport/wire"
)

// empty moves what it can off a cordoned machine. Whatever keeps it from more is noted
// as what the drain waits for.
func (c *Core) empty(now time.Time, m *machine, number int) {
	wait := func(why string) {
		if c.draining.waits[number] == "" {
			c.draining.waits[number] = m.name + ": " + why
		}
	}
	if m.unconfirmed() || c.silent(now, m) {
		wait("the machine does not answer")
		return
	}
	for _, h := range m.holds {
		t := c.taskOf(h)
		if !stoppable(h, t) {
			continue
		}
		if !t.job.rec.Spec.IsService() {
			c.endOrStop(now, t, h, wait)
			continue
		}
		if why := c.moveService(now, number, t); why != "" {
			wait(why)
		}
	}
}

// endOrStop lets a task of an array or a gang end by itself for a while, and then has it
// save or stop if its budgets allow it; a gang does so whole.
func (c *Core) endOrStop(now time.Time, t *task, h *hold, wait func(string)) {
	if now.Sub(h.m.cordon.since) < c.draining.cfg.Policy.ArrayWait {
		wait("tasks of arrays or gangs get time to end")
		return
	}
	if why := c.draining.interrupt(now, t); why != "" {
		wait(why)
		return
	}
	if t.job.gang != nil {
		c.stopGang(t.job, "its machine is drained")
		return
	}
	c.stopHold(h)
}

// stopHold has an attempt stopped; its task starts again where there is room.
func (q *outgoing) stopHold(h *hold) {
	h.stop = true
	h.m.stale = true
	q.requestCommand(h.m)
}

// moveService stops a service's task if a machine has room for it and its budgets
// allow it, or says why not.
func (c *Core) moveService(now time.Time, number int, t *task) string {
	d := c.draining
	s := &t.job.rec.Spec
	keys := d.budgetsOf(t.job)
	isUp := d.isUp(&c.fleetView, now, t)
	if !isUp && d.mayComeUp(now, t.hold) {
		return "a task of " + s.ID + " is not up yet"
	}
	if refused := d.ledger.Check(now, keys); refused != nil && isUp {
		return refused.Error()
	}
	if d.looks++; d.looks > constants.DrainLooks {
		return "others are looked at first"
	}
	to := c.roomToMove(&c.fleetView, now, s, d.promised)
	if to == nil {
		d.askForRoom(now, t, keys)
		return "no machine has room for a task of " + s.ID
	}
	if isUp { // what is down already is counted
		if refused := d.ledger.Stop(now, keys); refused != nil {
			return refused.Error()
		}
	}
	slog.Info("draining: task moves", "task", t.hold.key.task, "from", t.hold.m.name, "room_on", to.name, "drain", number)
	c.stopHold(t.hold)
	d.moves[t] = &move{drain: number, to: to, needs: need(s), since: now}
	d.promised[to] = d.promised[to].plus(need(s))
	return ""
}

// mayComeUp says whether an attempt that is not up is left alone to become so. To stop it
// would take nothing more down as the owner counts, but would keep its task down for
// longer, and after a takeover it may have run for long without the owner's knowledge.
func (d *draining) mayComeUp(now time.Time, h *hold) bool {
	return h.isRunning() || now.Sub(h.m.cordon.since) < d.cfg.Policy.ReplaceWithin
}

// roomPromised is the room on machines that tasks on their way there are to get.
func (d *draining) roomPromised() map[*machine]resources {
	promised := map[*machine]resources{}
	for t, m := range d.moves {
		if t.hold == nil || t.hold.stop {
			promised[m.to] = promised[m.to].plus(m.needs)
		}
	}
	return promised
}

// roomToMove is a machine with room for a task, beside what is promised to others: one
// that stays, unless none can be rented.
func (c *capacity) roomToMove(v *fleetView, now time.Time, s *wire.Submission, promised map[*machine]resources) *machine {
	_, _, rentable := c.pick(v, now, s)
	return v.bestFit(now, s, func(m *machine) bool {
		return !(rentable && m.leavesNext) && need(s).fits(v.free(m).minus(promised[m]))
	})
}

// askForRoom has a machine rented for a task that may move and finds no room, for no
// more tasks than the budgets would let move.
func (d *draining) askForRoom(now time.Time, t *task, keys []disruption.Key) {
	if len(d.surge) >= constants.DrainRentals {
		return
	}
	for _, k := range keys {
		if d.headroom[k] >= d.ledger.Headroom(now, k) {
			return
		}
	}
	for _, k := range keys {
		d.headroom[k]++
	}
	d.surge = append(d.surge, t)
}

// rentForDrains rents for tasks that may move and fit on nothing that is coming.
func (c *Core) rentForDrains(now time.Time, want map[kind]int) {
	if c.draining == nil {
		return
	}
	for _, t := range c.draining.surge {
		s := &t.job.rec.Spec
		if c.takeComing(s, 1) == 1 {
			continue
		}
		if typ, spot, ok := c.pick(&c.fleetView, now, s); ok {
			c.expect(typ, spot, need(s), want)
		}
	}
}

// mayConsolidate asks the account whether a service's task may be moved to do without
// its machine.
func (d *draining) mayConsolidate(now time.Time, t *task) bool {
	return d == nil || d.ledger.Stop(now, d.budgetsOf(t.job)) == nil
}

// PlanDrain says what a drain would do in this shard.
func (c *Core) PlanDrain(now time.Time, s *records.Selection) drain.ShardPlan {
	p := drain.ShardPlan{Shard: c.cfg.Shard, Moves: map[string]int{}, Usage: c.Usage(now)}
	promised := c.draining.roomPromised()
	for _, m := range c.selected(s) {
		p.Machines++
		if c.sumsOf(m).live == 0 {
			p.Empty++
			continue
		}
		for _, h := range m.holds {
			if t := c.taskOf(h); t != nil && t.hold == h && !h.exited() {
				c.planMove(now, &p, t, promised)
			}
		}
	}
	if p.Machines > 0 {
		atOnce := c.draining.cfg.Policy.AtOnce(len(c.fleet))
		p.Steps = (p.Machines + atOnce - 1) / atOnce
	}
	return p
}

// planMove adds what is known of one task's move.
func (c *Core) planMove(now time.Time, p *drain.ShardPlan, t *task, promised map[*machine]resources) {
	s := &t.job.rec.Spec
	if !s.IsService() {
		p.Arrays++
		return
	}
	keys := c.draining.budgetsOf(t.job)
	if len(keys) == 0 {
		p.Moves[""]++
	}
	for _, k := range keys {
		p.Moves[k.String()]++
	}
	obstacle := func(why string, permanent bool) {
		if len(p.Obstacles) < constants.DrainNames {
			p.Obstacles = append(p.Obstacles, drain.Obstacle{Job: s.ID, Machine: t.hold.m.name, Reason: why, Permanent: permanent})
		}
	}
	if refused := c.draining.ledger.Check(now, keys); refused != nil && refused.Reason == disruption.Never {
		obstacle(refused.Error(), true)
	} else if _, _, rentable := c.pick(&c.fleetView, now, s); !rentable && c.roomToMove(&c.fleetView, now, s, promised) == nil {
		obstacle("no machine has room for it, and none can be rented now", false)
	}
}
