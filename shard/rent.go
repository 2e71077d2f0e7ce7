package shard

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/wire"
)

// bootAge is a machine's age in nominal boot times.
func (m *machine) bootAge(now time.Time) float64 {
	boot := 60.0
	if m.typ != nil {
		boot = max(1, m.typ.BootS)
	}
	return now.Sub(m.rentedAt).Seconds() / boot
}

// bootS is the longest nominal boot time (s).
func (k *knowledge) bootS() float64 {
	boot := 0.0
	for _, t := range k.types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// coming says whether a machine that has not come up yet is still counted on.
func (hear *hearing) coming(now time.Time, m *machine) bool {
	return !m.up && !m.inherited && !hear.isUnreachable && !m.returning && m.typ != nil && m.bootAge(now) < constants.BootUsual
}

// arriving lists the room of machines that are not up yet or may not take
// tasks yet.
func (c *capacity) arriving(v *fleetView, now time.Time) []coming {
	out := c.roomComing[:0] // made anew each time, in the same place
	for _, m := range v.fleet {
		if v.coming(now, m) {
			out = append(out, coming{m.capacity, m.typeName, m.spot})
		} else if m.up && (!m.verified(v.term) || !m.durable || m.inventoryAddr != m.addr) && !m.returning && m.typ != nil && !v.silent(now, m) {
			out = append(out, coming{v.free(m), m.typeName, m.spot})
		}
	}
	for _, r := range c.pendingRents {
		if t := v.types[r.req.Type]; t != nil {
			for range r.req.Count {
				out = append(out, coming{sizeOf(t), t.Name, r.req.Spot})
			}
		}
	}
	return out
}

// capacity is what is being rented, and for which demand.
type capacity struct {
	pendingRents map[string]*rental
	rentSeq      int
	refused      map[bool]time.Time // by spot: no more is to be had until then
	rentals      pace               // looks at what to rent
	rentedAt     time.Time          // when the cloud was last asked for machines
	overdueAt    time.Time          // when tasks were last sent back for having waited too long
	unplaced     resources          // waiting demand after the last round
	excess       float64            // what of it (CPUs) nothing that is coming will take
	roomComing   []coming           // room of machines that are coming and not spoken for
	prod         arrivals           // of production work
	forecast     leader.Forecast
	forecastAt   time.Time
	since        []given // assignments that are newer than the forecast, or may be
	drainAt      time.Time
	drainWork    float64 // CPU seconds before the machines that are there
	drainCPUs    float64 // what those can give to arrays
}

// kind is a kind of machine to rent.
type kind struct {
	typ  string
	spot bool
}

// rentRound is one look at what to rent.
type rentRound struct {
	want map[kind]int
	// longWaits: tasks that have waited for long may be sent back in this round; sent
	// counts those of all jobs.
	longWaits bool
	sent      int
}

// rent asks for machines for what waits and fits on nothing that is coming.
func (c *Core) rent(now time.Time) {
	c.unplaced, c.excess = resources{}, 0
	c.roomComing = c.arriving(&c.fleetView, now)
	if len(c.types) == 0 || !c.rebuilt {
		return
	}
	r := rentRound{want: map[kind]int{}, longWaits: now.Sub(c.overdueAt) > constants.KeepWait}
	for _, j := range c.queue(&c.fleetView, now) {
		if j.gang != nil {
			c.rentForGang(now, j, r.want)
			continue
		}
		if tasks := c.beyondComing(now, j); len(tasks) > 0 {
			c.rentFor(now, j, tasks, &r)
		}
	}
	c.rentForDrains(now, r.want)
	c.rentForForecast(&c.fleetView, now, r.want)
	if len(r.want) == 0 {
		if typ, n := c.reserveMissing(now); n > 0 {
			r.want[kind{typ, false}] = n
		}
	}
	c.request(now, r.want)
}

// beyondComing gives a job's ready tasks the room that is coming and returns those that
// it does not take.
func (c *Core) beyondComing(now time.Time, j *job) []*task {
	s := &j.rec.Spec
	tasks := c.appendReady(c.scratch[:0], now, j)
	c.scratch = tasks
	c.unplaced = c.unplaced.plus(need(s).times(len(tasks)))
	return tasks[c.takeComing(s, len(tasks)):]
}

// takeComing gives so many tasks of a job room that is coming, spot room first since
// ordinary room is all that some may use, and returns how many it takes.
func (c *capacity) takeComing(s *wire.Submission, tasks int) int {
	n := need(s)
	left := tasks
	for _, spot := range []bool{true, false} {
		for i := range c.roomComing {
			if left == 0 {
				return tasks
			}
			b := &c.roomComing[i]
			if b.spot == spot && n.fits(b.free) && allowed(s, b.typ, b.spot) {
				k := min(left, b.free.holdsOf(n))
				b.free = b.free.minus(n.times(k))
				left -= k
			}
		}
	}
	return tasks - left
}

// expect has one more machine rented, and counts its room beside what is taken of it as
// coming, which is returned.
func (c *capacity) expect(typ *wire.MachineType, spot bool, taken resources, want map[kind]int) *coming {
	want[kind{typ.Name, spot}]++
	c.roomComing = append(c.roomComing, coming{sizeOf(typ).minus(taken), typ.Name, spot})
	return &c.roomComing[len(c.roomComing)-1]
}

// rentFor rents for a job's tasks that nothing coming takes, or sends them back.
func (c *Core) rentFor(now time.Time, j *job, tasks []*task, r *rentRound) {
	s := &j.rec.Spec
	n := need(s)
	typ, spot, ok := c.pick(&c.fleetView, now, s)
	away := 0
	back := now.Sub(j.backAt) > constants.KeepWait // together, and not over and over
	var bin *coming
	for _, t := range tasks {
		c.excess += n.cpus
		switch {
		case bin != nil && n.fits(bin.free):
			bin.free = bin.free.minus(n)
			c.excess -= n.cpus
		case !t.keep && back && c.elsewhere(now, j.rec, away):
			// It does not fit: the next shard is asked, if one is known to
			// have room. Otherwise it would come back, for two writes more.
			c.sendBack(j, t)
			away++
		case r.longWaits && now.Sub(t.waitSince) > constants.KeepLong && c.roomElsewhere(now, j.rec) > r.sent:
			// However little the room elsewhere is and whatever may yet be had
			// here: it must not wait beside it for ever.
			c.sendBack(j, t)
			c.overdueAt = now
			r.sent++
		case c.drains(&c.fleetView, now, j, t):
		case ok:
			bin = c.expect(typ, spot, n, r.want)
			c.excess -= n.cpus
		case now.Sub(t.waitSince) > constants.KeepWait && back && c.elsewhere(now, j.rec, away):
			c.sendBack(j, t)
			away++
		}
	}
	if away > 0 {
		j.backAt = now
	}
}

// request makes the rentals. The cloud takes few calls: what comes within a moment is
// asked for together, unless it fills a rental of its own.
func (c *Core) request(now time.Time, want map[kind]int) {
	total := 0
	for _, n := range want {
		total += n
	}
	if total == 0 || total < wire.MaxScaleOut/2 && now.Sub(c.rentedAt) < c.cfg.CloudGap {
		return
	}
	c.rentedAt = now
	for k, n := range want {
		for ; n > 0; n -= wire.MaxScaleOut {
			c.requestMachines(now, k, min(n, wire.MaxScaleOut))
		}
	}
}

// requestMachines makes one rental.
func (c *Core) requestMachines(now time.Time, k kind, count int) {
	c.rentSeq++
	req := wire.ScaleOutRequest{
		// The term makes the name this owner's alone, for ever.
		RequestID: fmt.Sprintf("rv-%s-%d-%d", c.cfg.Shard, c.term, c.rentSeq),
		Type:      k.typ, Zone: c.cfg.Shard, Spot: k.spot, Count: count,
	}
	c.pendingRents[req.RequestID] = &rental{req: req, at: now}
	c.actions = append(c.actions, ScaleOut{req})
	slog.Info("renting", "shard", c.cfg.Shard, "type", k.typ, "spot", k.spot, "count", count)
}

// drains says whether the machines that are there will get round to a waiting
// task before a machine rented for it could be up, and well within its
// class's objective: renting for it would only cost.
func (c *capacity) drains(v *fleetView, now time.Time, j *job, t *task) bool {
	s := &j.rec.Spec
	within := v.cfg.Order.FinishObjective(s.Class)
	boot := v.bootS()
	// Estimates may be far too low: what has waited in vain is rented for.
	if s.IsService() || within == 0 || t.guarantee || now.Sub(t.waitSince).Seconds() > boot*constants.DrainWait {
		return false
	}
	if c.drainAt != now {
		c.drainAt, c.drainWork, c.drainCPUs = now, 0, 0
		for _, m := range v.fleet {
			if m.draining || !v.usable(now, m) {
				continue
			}
			c.drainCPUs += m.capacity.cpus
			for _, h := range m.holds {
				o := v.taskOf(h)
				if h.exited() || o == nil {
					continue
				}
				if o.job.rec.Spec.IsService() {
					c.drainCPUs -= h.needs.cpus
					continue
				}
				left := o.job.rec.Spec.EstimateS
				if !h.runSince.IsZero() {
					left -= now.Sub(h.runSince).Seconds()
				}
				c.drainWork += h.needs.cpus * max(left, constants.LeastLeft.Seconds())
			}
		}
	}
	work := c.drainWork + s.CPUs*s.EstimateS
	limit := min(boot*constants.DrainBoots, within.Seconds()*constants.DrainShare)
	if c.drainCPUs < s.CPUs || work > c.drainCPUs*limit {
		return false
	}
	c.drainWork = work
	return true
}

// rentable says whether the shard may get more machines of a kind: the cloud had
// some a moment ago, and they would not be out of reach like all others.
func (c *capacity) rentable(v *fleetView, now time.Time, spot bool) bool {
	return !v.isUnreachable && !now.Before(c.refused[spot])
}

// pick chooses the cheapest kind of machine for a task that can be had.
func (c *capacity) pick(v *fleetView, now time.Time, s *wire.Submission) (*wire.MachineType, bool, bool) {
	var best *wire.MachineType
	bestSpot, bestPrice := false, math.Inf(1)
	for _, t := range v.types {
		if !need(s).fits(sizeOf(t)) || !allowed(s, t.Name, false) || !slices.Contains(t.Zones, v.cfg.Shard) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!s.Spot || !v.cfg.UseSpot) || !c.rentable(v, now, spot) {
				continue
			}
			price := t.Price
			if spot {
				price = t.SpotPrice
			}
			price /= max(t.CPUs, 1)
			if price < bestPrice || price == bestPrice && t.Name < best.Name {
				best, bestSpot, bestPrice = t, spot, price
			}
		}
	}
	return best, bestSpot, best != nil
}

// ScaleOutResult takes in the answer to a rental: the machines, or that none is to be
// had. An unanswered rental is repeated by the actor under the same name.
func (c *Core) ScaleOutResult(now time.Time, request string, names []string, refused bool) {
	r := c.pendingRents[request]
	if r == nil {
		return
	}
	delete(c.pendingRents, request)
	if refused || len(names) < r.req.Count {
		slog.Info("cloud has no more machines", "shard", c.cfg.Shard, "spot", r.req.Spot, "asked", r.req.Count, "got", len(names))
		c.refused[r.req.Spot] = now.Add(constants.RefusedPause)
	}
	for _, name := range names {
		m := c.machine(name)
		if m.typeName == "" {
			m.typeName, m.spot, m.rentedAt = r.req.Type, r.req.Spot, r.at
			c.size(m)
		}
		c.enrol(m)
	}
	c.dirty, c.pushDirty = true, true
}
