package leader

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/machinetype"
	"ravenport/wire"
)

// candidate is a shard that may accept tasks of a job, with the figures by which the shard
// is ranked. The figures include the assignments that the shard's aggregate does not
// reflect yet.
type candidate struct {
	shard          string
	maxTasks       int     // tasks of the job that its zone rules still allow in this shard
	isFresh        bool    // the latest aggregate is younger than constants.AggregateStaleAfter
	estimatedTasks int     // tasks of the job that could run now
	freeCPUs       float64 // sum over the machines that the job may use
	queuedCPUs     float64 // of tasks that wait in this shard
	totalCPUs      float64 // of machines that are up, pending or needed for the waiting tasks
	canScaleOut    bool    // the shard can still request machines of a kind that the job may use
	maxQueuedCPUs  float64 // bound on the CPUs of tasks that wait in this shard while it cannot scale out
	warmTasks      int     // production tasks that could start without fetching their image
	gang           gangEstimate
}

// candidates lists the shards that a job's zone rules allow. ok is false if there are no
// such shards, or if the leader is new and should wait for the first fresh aggregate.
func (c *Core) candidates(now time.Time, job *jobState) (list []*candidate, ok bool) {
	remaining := c.remainingTasksByShard(job)
	anyFresh := false
	for _, zone := range c.settings.Deployment.Zones {
		maxTasks, allowed := remaining[zone]
		if !allowed || maxTasks <= 0 {
			continue
		}
		k := &candidate{shard: zone, maxTasks: maxTasks}
		if shard := c.shards[zone]; now.Sub(shard.updatedAt) < constants.AggregateStaleAfter {
			k.loadAggregate(shard, &job.record.Spec, c.machineTypes)
			anyFresh = true
		}
		list = append(list, k)
	}
	if !anyFresh && now.Sub(c.startedAt) < constants.AggregateStaleAfter {
		return nil, false
	}
	return list, len(list) > 0
}

// remainingTasksByShard returns, by shard, how many more tasks of a job its zone rules
// allow, without the shards that can run none. All tasks in open assignments count, since any
// of them may be running.
func (c *Core) remainingTasksByShard(job *jobState) map[string]int {
	spec := &job.record.Spec
	open := map[string]int{}
	for _, a := range job.record.Assignments {
		if !a.Closed {
			open[a.Shard] += a.Tasks()
		}
	}
	remaining := map[string]int{}
	for _, zone := range c.zonesFor(spec) {
		limit := spec.Tasks
		if spec.Spread {
			limit = (spec.Tasks + 1) / 2
		}
		if spec.OneZone && runsOutside(zone, open) {
			limit = 0
		}
		remaining[zone] = limit - open[zone]
	}
	return remaining
}

// canRun reports whether the shard of a zone can run tasks of a job: the cloud offers a
// machine there that fits a task, or the shard still has such a machine. An owner could only
// offload any other job's tasks.
func (c *Core) canRun(zone string, spec *wire.Submission) bool {
	return c.machineTypes.OffersFor(spec, zone) || c.shards[zone].aggregate.HasMachineFor(spec, c.machineTypes)
}

// zonesFor returns the zones that a job may use and whose shards can run the job.
func (c *Core) zonesFor(s *wire.Submission) []string {
	var zones []string
	for _, zone := range c.settings.Deployment.Zones {
		if (s.Zone == "" || s.Zone == zone) && c.canRun(zone, s) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// runsOutside reports whether tasks are in open assignments to shards of other zones. open
// holds the number of a job's tasks in open assignments, by shard.
func runsOutside(zone string, open map[string]int) bool {
	for other, n := range open {
		if other != zone && n > 0 {
			return true
		}
	}
	return false
}

// loadAggregate computes the candidate's figures from the shard's aggregate and from the
// assignments that the aggregate does not reflect yet.
func (k *candidate) loadAggregate(shard *shardState, spec *wire.Submission, types machinetype.Set) {
	a := &shard.aggregate
	usable := a.capacityFor(spec, types)
	k.isFresh = true
	k.queuedCPUs = a.WaitingCPUs
	for _, r := range shard.reservations {
		if r.mayUseTypesOf(spec) {
			subtractReservation(&usable.OnDemand, &usable.Spot, r)
		}
		k.queuedCPUs += r.cpus
		k.totalCPUs += r.cpus
	}
	k.totalCPUs += a.Capacity + a.WaitingCPUs
	k.estimatedTasks = usable.estimateTasks(spec)
	k.freeCPUs = usable.OnDemand.CPUs.Sum
	if spec.Spot {
		k.freeCPUs += usable.Spot.CPUs.Sum
	}
	k.maxQueuedCPUs = a.Capacity * constants.MaxQueueShare
	k.canScaleOut = (a.CanScaleOutOnDemand || spec.Spot && a.CanScaleOutSpot) && types.OffersFor(spec, k.shard)
	k.warmTasks = min(shard.estimateWarmTasks(spec), k.estimatedTasks, k.maxTasks)
	if spec.IsGang() {
		k.gang = shard.estimateGang(spec, k.estimatedTasks)
	}
}

// mayUseTypesOf reports whether the reserved capacity may be on machines that another job may
// use as well, as far as the jobs' lists of allowed types show.
func (r *capacityReservation) mayUseTypesOf(spec *wire.Submission) bool {
	return len(r.types) == 0 || len(spec.Types) == 0 || slices.ContainsFunc(r.types, spec.AllowsType)
}

// subtractReservation subtracts a reservation from the free capacity: from that of the spot
// machines if the job may use them and they have enough free CPUs, or else from that of
// the on-demand machines.
func subtractReservation(onDemand, spot *FreeCapacity, r capacityReservation) {
	free := onDemand
	if r.spot && spot.CPUs.Sum >= r.cpus {
		free = spot
	}
	free.CPUs.Sum -= r.cpus
	free.GPUs.Sum -= r.gpus
	free.Memory.Sum -= r.memoryGB
}

// estimateWarmTasks estimates how many production tasks of a job could start on machines
// that hold the job's image.
func (sh *shardState) estimateWarmTasks(s *wire.Submission) int {
	if s.Priority != wire.PriorityProduction || s.CPUs <= 0 {
		return 0
	}
	warmCPUs := sh.aggregate.Warm[s.Image]
	for _, r := range sh.reservations {
		if !r.spot {
			warmCPUs -= r.cpus
		}
	}
	return max(0, int(warmCPUs/s.CPUs))
}

// fittingTasks returns how many of the job's tasks could run in the shard now under the
// job's zone rules.
func (k *candidate) fittingTasks() int { return min(k.estimatedTasks, k.maxTasks) }
