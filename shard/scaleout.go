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

// scaleOutState holds the machines that were requested from the cloud, and the demand that
// decides whether more are requested.
type scaleOutState struct {
	pendingScaleOuts    map[string]*pendingScaleOut // by request id
	scaleOutSeq         int                         // number of the last request of this term
	refusedUntil        map[machineKind]time.Time   // the time until which no machines of a kind are requested, after a refusal
	scaleOutPace        pace                        // limits how often planScaleOut runs
	scaleOutRequestedAt time.Time                   // when machines were last requested
	overdueOffloadAt    time.Time                   // when tasks were last offloaded for exceeding constants.OverdueOffloadWait

	unplacedDemand  resources        // waiting demand after the last round
	excessCPUs      float64          // CPUs of unplacedDemand that fit on no pending machine
	pendingCapacity []pendingMachine // pending machines, with the capacity that waiting tasks leave free
	backlog         backlog

	productionArrivals    arrivalRate // arrival rate of production work
	forecast              leader.Forecast
	forecastReceivedAt    time.Time
	assignedSinceForecast []assignedWork // assignments that the forecast may not include yet
}

// machineKind is a machine type together with whether the machine is a spot machine.
type machineKind struct {
	typeName string
	spot     bool
}

// machineCounts is how many machines of each kind are to be requested.
type machineCounts map[machineKind]int

// scaleOutRound is the state of one run of planScaleOut.
type scaleOutRound struct {
	counts machineCounts

	mayOffloadOverdue bool // tasks that exceed constants.OverdueOffloadWait may be offloaded in this round
	overdueOffloaded  int  // number of such tasks, over all jobs, that were offloaded in this round
	relocatedJob      *job // the job whose tasks were offloaded in this round because only other shards can scale out for it
}

// planScaleOut requests machines for the demand that fits on no pending machine. The demand
// comes from waiting tasks, drains and the leader's forecast. Machines for the reserve are
// requested only if none of these needs a machine.
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
	demand     resources       // demand of one task
	canRunHere bool            // the shard can run tasks of the job, now or with machines that the cloud offers
	offer      machineOffer    // offer of the cheapest machine for a task
	mayMove    bool            // this shard cannot request a machine for a task, and another shard can
	lastAdded  *pendingMachine // the machine that was added last; nil: none
	// staysTogether: the job must be in one zone and has several tasks here, so no single
	// task is offloaded.
	staysTogether bool
	mayOffload    bool // limits the job to one batch of offloaded tasks per constants.OffloadWait
	offloaded     int  // tasks of the job that were offloaded in this round, without overdue tasks
}

// scaleOutForJob adds machines for tasks of a job that fit on no pending machine, or
// offloads the tasks.
func (c *Core) scaleOutForJob(now time.Time, j *job, tasks []*task, r *scaleOutRound) {
	p := jobScaleOut{
		job:        j,
		demand:     taskResources(&j.record.Spec),
		canRunHere: c.canRunTasksOf(&j.record.Spec),
		offer:      c.cheapestOffer(&c.fleetView, now, &j.record.Spec),
		mayOffload: now.Sub(j.offloadedAt) > constants.OffloadWait,
	}
	p.mayMove = !p.offer.isAvailable() && c.canScaleOutElsewhere(now, j)
	p.staysTogether = j.record.Spec.OneZone && len(j.tasks) > 1
	if p.staysTogether && c.offloadTogether(now, tasks, &p, r) {
		tasks = nil
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
	if p.offloaded > 0 && !p.canRunHere {
		slog.Info("offloading tasks to the leader: the shard cannot run them", logkey.JobID, j.record.ID, "tasks", p.offloaded)
	}
}

// scaleOutForTask decides on one task that fits on no pending machine: to add a machine, to
// offload the task, or to let it wait. It reports whether the task fits on a machine that was
// added in this round.
func (c *Core) scaleOutForTask(now time.Time, t *task, plan *jobScaleOut, round *scaleOutRound) bool {
	waited := now.Sub(t.waitingSince)
	mayOffload := plan.mayOffload && !plan.staysTogether
	mayOffloadOverdue := round.mayOffloadOverdue && !plan.staysTogether && waited > constants.OverdueOffloadWait
	switch {
	case !plan.canRunHere:
		if mayOffload && c.offloadTask(plan.job, t) {
			plan.offloaded++
		}
	case plan.lastAdded != nil && plan.demand.fits(plan.lastAdded.free):
		plan.lastAdded.free = plan.lastAdded.free.minus(plan.demand)
		return true
	case !t.keepWaiting && mayOffload && c.otherShardsFitOneMore(now, plan.job.record, plan.offloaded):
		// The task is offloaded only if another shard is known to have capacity for it.
		// Otherwise it would be returned to this shard, which costs two more writes.
		if c.offloadTask(plan.job, t) {
			plan.offloaded++
		}
	case mayOffloadOverdue && c.taskSlotsInOtherShards(now, plan.job.record) > round.overdueOffloaded:
		// The task has waited for so long that it is offloaded if other shards have any
		// capacity for it, even if this shard may still get machines. Otherwise the task
		// could wait in this shard forever while other shards have free capacity.
		if c.offloadTask(plan.job, t) {
			c.overdueOffloadAt = now
			round.overdueOffloaded++
		}
	case mayOffloadOverdue && plan.mayMove && (round.relocatedJob == nil || round.relocatedJob == plan.job):
		// The cloud has no machine for the task in this zone, perhaps for ever, and may have
		// one in another zone. One job moves at a time: while the cloud has no machines at
		// all, shards may take turns in not having asked for a while.
		if c.offloadTask(plan.job, t) {
			c.overdueOffloadAt = now
			round.relocatedJob = plan.job
		}
	case c.backlogClearsInTime(&c.fleetView, now, plan.job, t):
		// The task will start sooner on an existing machine than on a new one.
	case plan.offer.isAvailable():
		plan.lastAdded = c.planMachine(plan.offer, plan.demand, round.counts)
		return true
	case waited > constants.OffloadWait && mayOffload && c.otherShardsFitOneMore(now, plan.job.record, plan.offloaded):
		if c.offloadTask(plan.job, t) {
			plan.offloaded++
		}
	}
	return false
}

// requestScaleOuts requests machines. The cloud limits the rate of calls, so machines that
// are needed within one Config.CloudCallInterval are requested together. If they fill half a
// request, they are requested without that delay.
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

// requestScaleOut sends one request for machines of one kind to the cloud.
func (c *Core) requestScaleOut(now time.Time, kind machineKind, count int) {
	c.scaleOutSeq++
	req := wire.ScaleOutRequest{
		// The term makes the request id unique among the shard's owners.
		RequestID: fmt.Sprintf("rv-%s-%d-%d", c.cfg.Shard, c.term, c.scaleOutSeq),
		Type:      kind.typeName, Zone: c.cfg.Shard, Spot: kind.spot, Count: count,
	}
	c.pendingScaleOuts[req.RequestID] = &pendingScaleOut{request: req, requestedAt: now}
	c.actions = append(c.actions, ScaleOut{req})
	slog.Info("scaling out", logkey.Shard, c.cfg.Shard, "type", kind.typeName, "spot", kind.spot, "count", count)
}

// ScaleOutResult handles the cloud's response to a request: the names of the machines, or a
// refusal. The actor retries a request without a response under the same id.
func (c *Core) ScaleOutResult(now time.Time, requestID string, names []string, refused bool) {
	r := c.pendingScaleOuts[requestID]
	if r == nil {
		return
	}
	delete(c.pendingScaleOuts, requestID)
	if refused || len(names) < r.request.Count {
		slog.Info("cloud has no more machines", logkey.Shard, c.cfg.Shard, "type", r.request.Type, "spot", r.request.Spot, "requested", r.request.Count, "granted", len(names))
		c.refusedUntil[machineKind{r.request.Type, r.request.Spot}] = now.Add(constants.ScaleOutRefusedPause)
	}
	for _, name := range names {
		if c.isTerminated(name) {
			continue // the response was delayed until after the machine's termination
		}
		m := c.ensureMachine(name)
		if m.typeName == "" {
			m.typeName = r.request.Type
			m.spot = r.request.Spot
			m.requestedAt = r.requestedAt
			c.resolveType(m)
		}
		c.addToInventory(m)
	}
	c.needsPlacement = true
	c.aggregateChanged = true
}
