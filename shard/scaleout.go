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

// scaleOutState is what is being rented, and for which demand.
type scaleOutState struct {
	pendingScaleOuts      map[string]*pendingScaleOut
	scaleOutSeq           int
	refusedUntil          map[bool]time.Time // by spot: no more is to be had until then
	scaleOutPace          pace               // looks at what to rent
	scaleOutRequestedAt   time.Time          // when the cloud was last asked for machines
	overdueOffloadAt      time.Time          // when tasks were last sent back for having waited too long
	unplacedDemand        resources          // waiting demand after the last round
	excessCPUs            float64            // what of it (CPUs) nothing that is coming will take
	pendingCapacity       []pendingMachine   // room of machines that are coming and not spoken for
	productionArrivals    arrivalRate        // of production work
	forecast              leader.Forecast
	forecastReceivedAt    time.Time
	assignedSinceForecast []assignedWork // assignments that are newer than the forecast, or may be
	backlogAt             time.Time
	backlogCPUSeconds     float64 // CPU seconds before the machines that are there
	backlogCPUs           float64 // what those can give to arrays
}

// machineKind is a kind of machine to rent.
type machineKind struct {
	typeName string
	spot     bool
}

// scaleOutRound is one look at what to rent.
type scaleOutRound struct {
	wanted map[machineKind]int
	// mayOffloadOverdue: tasks that have waited for long may be sent back in this round; sent
	// counts those of all jobs.
	mayOffloadOverdue bool
	offloaded         int
}

// planScaleOut asks for machines for what waits and fits on nothing that is coming.
func (c *Core) planScaleOut(now time.Time) {
	c.unplacedDemand, c.excessCPUs = resources{}, 0
	c.pendingCapacity = c.listPendingMachines(&c.fleetView, now)
	if len(c.types) == 0 || !c.rebuilt {
		return
	}
	r := scaleOutRound{wanted: map[machineKind]int{}, mayOffloadOverdue: now.Sub(c.overdueOffloadAt) > constants.OffloadWait}
	for _, j := range c.rankWaitingJobs(&c.fleetView, now) {
		if j.gang != nil {
			c.scaleOutForGang(now, j, r.wanted)
			continue
		}
		if tasks := c.tasksBeyondPending(now, j); len(tasks) > 0 {
			c.scaleOutForJob(now, j, tasks, &r)
		}
	}
	c.scaleOutForDrains(now, r.wanted)
	c.scaleOutForForecast(&c.fleetView, now, r.wanted)
	if len(r.wanted) == 0 {
		if typ, n := c.missingReserve(now); n > 0 {
			r.wanted[machineKind{typ, false}] = n
		}
	}
	c.requestScaleOuts(now, r.wanted)
}

// scaleOutForJob rents for a job's tasks that nothing coming takes, or sends them back.
func (c *Core) scaleOutForJob(now time.Time, j *job, tasks []*task, r *scaleOutRound) {
	s := &j.rec.Spec
	n := taskResources(s)
	typ, spot, ok := c.cheapestMachineKind(&c.fleetView, now, s)
	away := 0
	back := now.Sub(j.sentBackAt) > constants.OffloadWait // together, and not over and over
	var bin *pendingMachine
	for _, t := range tasks {
		c.excessCPUs += n.cpus
		switch {
		case bin != nil && n.fits(bin.free):
			bin.free = bin.free.minus(n)
			c.excessCPUs -= n.cpus
		case !t.keepWaiting && back && c.otherShardsFitOneMore(now, j.rec, away):
			// It does not fit: the next shard is asked, if one is known to
			// have room. Otherwise it would come back, for two writes more.
			c.offloadTask(j, t)
			away++
		case r.mayOffloadOverdue && now.Sub(t.waitingSince) > constants.OverdueOffloadWait && c.taskSlotsInOtherShards(now, j.rec) > r.offloaded:
			// However little the room elsewhere is and whatever may yet be had
			// here: it must not wait beside it for ever.
			c.offloadTask(j, t)
			c.overdueOffloadAt = now
			r.offloaded++
		case c.backlogClearsInTime(&c.fleetView, now, j, t):
		case ok:
			bin = c.planMachine(typ, spot, n, r.wanted)
			c.excessCPUs -= n.cpus
		case now.Sub(t.waitingSince) > constants.OffloadWait && back && c.otherShardsFitOneMore(now, j.rec, away):
			c.offloadTask(j, t)
			away++
		}
	}
	if away > 0 {
		j.sentBackAt = now
	}
}

// requestScaleOuts makes the rentals. The cloud takes few calls: what comes within a moment is
// asked for together, unless it fills a rental of its own.
func (c *Core) requestScaleOuts(now time.Time, want map[machineKind]int) {
	total := 0
	for _, n := range want {
		total += n
	}
	if total == 0 || total < wire.MaxMachinesPerScaleOut/2 && now.Sub(c.scaleOutRequestedAt) < c.cfg.CloudCallInterval {
		return
	}
	c.scaleOutRequestedAt = now
	for k, n := range want {
		for ; n > 0; n -= wire.MaxMachinesPerScaleOut {
			c.requestScaleOut(now, k, min(n, wire.MaxMachinesPerScaleOut))
		}
	}
}

// requestScaleOut makes one rental.
func (c *Core) requestScaleOut(now time.Time, k machineKind, count int) {
	c.scaleOutSeq++
	req := wire.ScaleOutRequest{
		// The term makes the name this owner's alone, for ever.
		RequestID: fmt.Sprintf("rv-%s-%d-%d", c.cfg.Shard, c.term, c.scaleOutSeq),
		Type:      k.typeName, Zone: c.cfg.Shard, Spot: k.spot, Count: count,
	}
	c.pendingScaleOuts[req.RequestID] = &pendingScaleOut{request: req, requestedAt: now}
	c.actions = append(c.actions, ScaleOut{req})
	slog.Info("renting", "shard", c.cfg.Shard, "type", k.typeName, "spot", k.spot, "count", count)
}

// backlogClearsInTime says whether the machines that are there will get round to a waiting
// task before a machine rented for it could be up, and well within its
// class's objective: renting for it would only cost.
func (c *scaleOutState) backlogClearsInTime(v *fleetView, now time.Time, j *job, t *task) bool {
	s := &j.rec.Spec
	within := v.cfg.JobOrder.FinishObjective(s.Class)
	boot := v.maxBootSeconds()
	// Estimates may be far too low: what has waited in vain is rented for.
	if s.IsService() || within == 0 || t.withinGuarantee || now.Sub(t.waitingSince).Seconds() > boot*constants.BacklogWaitBootTimes {
		return false
	}
	if c.backlogAt != now {
		c.backlogAt, c.backlogCPUSeconds, c.backlogCPUs = now, 0, 0
		for _, m := range v.fleet {
			if m.consolidating || !v.isSchedulable(now, m) {
				continue
			}
			c.backlogCPUs += m.capacity.cpus
			for _, a := range m.attempts {
				o := v.taskOf(a)
				if a.hasExited() || o == nil {
					continue
				}
				if o.job.rec.Spec.IsService() {
					c.backlogCPUs -= a.resources.cpus
					continue
				}
				left := o.job.rec.Spec.EstimateS
				if !a.runningSince.IsZero() {
					left -= now.Sub(a.runningSince).Seconds()
				}
				c.backlogCPUSeconds += a.resources.cpus * max(left, constants.MinRemainingRuntime.Seconds())
			}
		}
	}
	work := c.backlogCPUSeconds + s.CPUs*s.EstimateS
	limit := min(boot*constants.BacklogBootTimes, within.Seconds()*constants.BacklogObjectiveShare)
	if c.backlogCPUs < s.CPUs || work > c.backlogCPUs*limit {
		return false
	}
	c.backlogCPUSeconds = work
	return true
}

// canScaleOut says whether the shard may get more machines of a kind: the cloud had
// some a moment ago, and they would not be out of reach like all others.
func (c *scaleOutState) canScaleOut(v *fleetView, now time.Time, spot bool) bool {
	return !v.partitioned && !now.Before(c.refusedUntil[spot])
}

// cheapestMachineKind chooses the cheapest kind of machine for a task that can be had.
func (c *scaleOutState) cheapestMachineKind(v *fleetView, now time.Time, s *wire.Submission) (*wire.MachineType, bool, bool) {
	var best *wire.MachineType
	bestSpot, bestPrice := false, math.Inf(1)
	for _, t := range v.types {
		if !taskResources(s).fits(machineResources(t)) || !isEligible(s, t.Name, false) || !slices.Contains(t.Zones, v.cfg.Shard) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!s.Spot || !v.cfg.UseSpot) || !c.canScaleOut(v, now, spot) {
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
	r := c.pendingScaleOuts[request]
	if r == nil {
		return
	}
	delete(c.pendingScaleOuts, request)
	if refused || len(names) < r.request.Count {
		slog.Info("cloud has no more machines", "shard", c.cfg.Shard, "spot", r.request.Spot, "asked", r.request.Count, "got", len(names))
		c.refusedUntil[r.request.Spot] = now.Add(constants.ScaleOutRefusedPause)
	}
	for _, name := range names {
		m := c.ensureMachine(name)
		if m.typeName == "" {
			m.typeName, m.spot, m.requestedAt = r.request.Type, r.request.Spot, r.requestedAt
			c.resolveType(m)
		}
		c.enroll(m)
	}
	c.needsPlacement, c.aggregateChanged = true, true
}
