package shard

import (
	"fmt"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/wire"
)

// scaleOutState is which machines were requested from the cloud, and the demand that
// decides on more.
type scaleOutState struct {
	pendingScaleOuts    map[string]*pendingScaleOut // by request id
	scaleOutSeq         int                         // number of the last request of this term
	refusedUntil        map[bool]time.Time          // by spot: no more machines are requested until then
	scaleOutPace        pace                        // of planScaleOut
	scaleOutRequestedAt time.Time                   // when machines were last requested
	overdueOffloadAt    time.Time                   // when tasks were last offloaded because they had waited for long

	unplacedDemand  resources        // waiting demand after the last round
	excessCPUs      float64          // CPUs of it that fit on no pending machine
	pendingCapacity []pendingMachine // what is left of the pending machines beside the waiting tasks
	backlog         backlog

	productionArrivals    arrivalRate // of production work
	forecast              leader.Forecast
	forecastReceivedAt    time.Time
	assignedSinceForecast []assignedWork // assignments that are newer than the forecast, or may be
}

// machineKind is a machine type, as spot or on-demand machine.
type machineKind struct {
	typeName string
	spot     bool
}

// machineCounts is how many machines of each kind are to be requested.
type machineCounts map[machineKind]int

// scaleOutRound is one computation of what to scale out.
type scaleOutRound struct {
	counts machineCounts

	mayOffloadOverdue bool // tasks that have waited for long may be offloaded in this round
	overdueOffloaded  int  // how many of those were, of all jobs
}

// planScaleOut requests machines for the demand that fits on no pending machine: that of
// waiting tasks, of drains, of the leader's forecast, and else of the reserve.
func (c *Core) planScaleOut(now time.Time) {
	c.unplacedDemand = resources{}
	c.excessCPUs = 0
	c.pendingCapacity = c.listPendingMachines(&c.fleetView, now)
	if len(c.types) == 0 || !c.rebuilt {
		return
	}
	r := scaleOutRound{counts: machineCounts{}, mayOffloadOverdue: now.Sub(c.overdueOffloadAt) > constants.OffloadWait}
	for _, j := range c.rankWaitingJobs(&c.fleetView, now) {
		if j.gang != nil {
			c.scaleOutForGang(now, j, r.counts)
			continue
		}
		if tasks := c.tasksBeyondPendingCapacity(now, j); len(tasks) > 0 {
			c.scaleOutForJob(now, j, tasks, &r)
		}
	}
	c.scaleOutForDrains(now, r.counts)
	c.scaleOutForForecast(&c.fleetView, now, r.counts)
	if len(r.counts) == 0 {
		c.scaleOutForReserve(now, r.counts)
	}
	c.requestScaleOuts(now, r.counts)
}

// jobScaleOut is the scale-out for one job's tasks in one round.
type jobScaleOut struct {
	job        *job
	demand     resources       // of one task
	offer      machineOffer    // of the cheapest machine for a task
	lastAdded  *pendingMachine // the machine that was added last; nil: none
	mayOffload bool            // tasks go together, and not over and over
	offloaded  int
}

// scaleOutForJob adds machines for tasks of a job that fit on no pending machine, or
// offloads the tasks.
func (c *Core) scaleOutForJob(now time.Time, j *job, tasks []*task, r *scaleOutRound) {
	p := jobScaleOut{
		job:        j,
		demand:     taskResources(&j.rec.Spec),
		offer:      c.cheapestOffer(&c.fleetView, now, &j.rec.Spec),
		mayOffload: now.Sub(j.offloadedAt) > constants.OffloadWait,
	}
	for _, t := range tasks {
		c.excessCPUs += p.demand.cpus
		if c.scaleOutForTask(now, t, &p, r) {
			c.excessCPUs -= p.demand.cpus
		}
	}
	if p.offloaded > 0 {
		j.offloadedAt = now
	}
}

// scaleOutForTask decides on one task that fits on no pending machine. It says whether the
// task fits on a machine that was added.
func (c *Core) scaleOutForTask(now time.Time, t *task, plan *jobScaleOut, round *scaleOutRound) bool {
	waited := now.Sub(t.waitingSince)
	switch {
	case plan.lastAdded != nil && plan.demand.fits(plan.lastAdded.free):
		plan.lastAdded.free = plan.lastAdded.free.minus(plan.demand)
		return true
	case !t.keepWaiting && plan.mayOffload && c.otherShardsFitOneMore(now, plan.job.rec, plan.offloaded):
		// Only to a shard that is known to have capacity: otherwise it would come back,
		// for two writes more.
		c.offloadTask(plan.job, t)
		plan.offloaded++
	case round.mayOffloadOverdue && waited > constants.OverdueOffloadWait && c.taskSlotsInOtherShards(now, plan.job.rec) > round.overdueOffloaded:
		// However little capacity other shards have, and whatever this one may still get:
		// the task must not wait beside it for ever.
		c.offloadTask(plan.job, t)
		c.overdueOffloadAt = now
		round.overdueOffloaded++
	case c.backlogClearsInTime(&c.fleetView, now, plan.job, t):
		// It starts sooner on an existing machine.
	case plan.offer.isAvailable():
		plan.lastAdded = c.planMachine(plan.offer, plan.demand, round.counts)
		return true
	case waited > constants.OffloadWait && plan.mayOffload && c.otherShardsFitOneMore(now, plan.job.rec, plan.offloaded):
		c.offloadTask(plan.job, t)
		plan.offloaded++
	}
	return false
}

// requestScaleOuts requests machines. The cloud accepts few calls: what comes up within
// Config.CloudCallInterval is requested together, unless it fills half a request.
func (c *Core) requestScaleOuts(now time.Time, counts machineCounts) {
	total := 0
	for _, count := range counts {
		total += count
	}
	isSmall := total < wire.MaxMachinesPerScaleOut/2
	if total == 0 || isSmall && now.Sub(c.scaleOutRequestedAt) < c.cfg.CloudCallInterval {
		return
	}
	c.scaleOutRequestedAt = now
	for kind, count := range counts {
		for ; count > 0; count -= wire.MaxMachinesPerScaleOut {
			c.requestScaleOut(now, kind, min(count, wire.MaxMachinesPerScaleOut))
		}
	}
}

// requestScaleOut makes one request.
func (c *Core) requestScaleOut(now time.Time, kind machineKind, count int) {
	c.scaleOutSeq++
	req := wire.ScaleOutRequest{
		// The term makes the request id unique to this owner.
		RequestID: fmt.Sprintf("rv-%s-%d-%d", c.cfg.Shard, c.term, c.scaleOutSeq),
		Type:      kind.typeName, Zone: c.cfg.Shard, Spot: kind.spot, Count: count,
	}
	c.pendingScaleOuts[req.RequestID] = &pendingScaleOut{request: req, requestedAt: now}
	c.actions = append(c.actions, ScaleOut{req})
	slog.Info("scaling out", logkey.Shard, c.cfg.Shard, "type", kind.typeName, "spot", kind.spot, "count", count)
}

// ScaleOutResult takes in the cloud's response to a request: the machines, or that it has
// refused. A request without a response is repeated by the actor under the same id.
func (c *Core) ScaleOutResult(now time.Time, requestID string, names []string, refused bool) {
	r := c.pendingScaleOuts[requestID]
	if r == nil {
		return
	}
	delete(c.pendingScaleOuts, requestID)
	if refused || len(names) < r.request.Count {
		slog.Info("cloud has no more machines", logkey.Shard, c.cfg.Shard, "spot", r.request.Spot, "requested", r.request.Count, "granted", len(names))
		c.refusedUntil[r.request.Spot] = now.Add(constants.ScaleOutRefusedPause)
	}
	for _, name := range names {
		m := c.ensureMachine(name)
		if m.typeName == "" {
			m.typeName = r.request.Type
			m.spot = r.request.Spot
			m.requestedAt = r.requestedAt
			c.resolveType(m)
		}
		c.enroll(m)
	}
	c.needsPlacement = true
	c.aggregateChanged = true
}
