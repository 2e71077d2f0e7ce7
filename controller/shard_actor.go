package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/drain"
	"ravenport/httpwire"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/shard"
	"ravenport/wire"
)

// shardActor runs the core of a shard's owner in one term and carries out its decisions.
type shardActor struct {
	core    *shard.Core
	shard   string
	store   Store
	cloud   Cloud
	workers Workers
	self    *actor.Ref
	control *actor.Ref
	pacer   stepPacer
	stopped bool // for a transfer of the term; heartbeats are refused, other messages ignored

	revision              uint64
	statusSentAt          time.Time // when the status was last sent
	summarySentAt         time.Time // when a status with counts, summary and drains was last sent
	reachabilityCheckedAt time.Time // when the reachability of the machines was last checked
	machineList           machineListState
}

// machineListState is the state of the reads of the cloud's list of machines.
type machineListState struct {
	readAt  time.Time
	reading bool
	size    int // number of machines on the last list
}

// newShardActor returns the actor of a shard's owner in a term. A wake message for its
// first step is in its mailbox.
func newShardActor(c *controlActor, name string, term heldTerm, now time.Time) *shardActor {
	self := actor.NewRef()
	owner := &shardActor{
		shard:    name,
		store:    c.dependencies.Background,
		cloud:    c.dependencies.Cloud,
		workers:  c.dependencies.Workers(),
		self:     self,
		control:  c.self,
		pacer:    stepPacer{self: self},
		revision: c.feed.revision,
	}
	inventory, inventoryVersions := c.feed.inventoryOf(name)
	owner.core = shard.New(shardConfig(c.settings, name), now, shard.Snapshot{
		Term:              term.number,
		TermVersion:       term.version,
		MachineTypes:      c.machineTypes.known,
		Jobs:              c.feed.jobs,
		JobVersions:       c.feed.jobVersions,
		Inventory:         inventory,
		InventoryVersions: inventoryVersions,
	})
	owner.core.SetAuthority(c.authorityEnd())
	if c.feed.packing {
		owner.core.EnablePacking()
	}
	if c.settings.Draining != nil {
		owner.core.StartDraining(now, c.drainingConfig(), c.feed.jobs, c.drains.changes())
	}
	owner.self.Tell(wake{})
	return owner
}

// shardConfig returns the configuration of a shard's owner according to the settings.
func shardConfig(set *settings.Settings, name string) shard.Config {
	limits := set.StoreLimits()
	workers := set.Deployment.Workers
	return shard.Config{
		Shard:               name,
		HeartbeatPeriod:     set.HeartbeatPeriod(),
		LeaseTimeout:        set.WorkerLeaseExpiry(),
		LeaseExtension:      set.LeaseExtension(),
		SpotIdleTimeout:     set.Operator.SpotIdleTimeout,
		OnDemandIdleTimeout: set.Operator.OnDemandIdleTimeout,
		UseSpot:             set.Operator.UseSpot,
		CloseBeforeScaleIn:  set.Duties.CloseBeforeScaleIn,
		GangStartTimeout:    settings.Seconds(workers.GangWaitTimeoutS),
		GangPeerTimeout:     settings.Seconds(workers.GangPeerTimeoutS),
		CloudListLag:        time.Duration(set.Deployment.Cloud.ListLagS * float64(time.Second)),
		SizeLimits:          set.RecordSizeLimits(),
		MaxTxnOps:           limits.TxnOps,
		MaxWritesPerSecond:  max(limits.WriteRPS, 1),
		CloudCallInterval:   set.CloudCallInterval(),
		JobOrder:            leader.NewJobOrder(set.Deployment.Objectives),
		RoundBudget:         set.RoundBudget(),
		MaxDirectCommands:   set.SocketLimits().DirectCommands,
	}
}

// Receive implements actor.Handler.
func (a *shardActor) Receive(ctx context.Context, msg any) {
	if a.stopped {
		if m, ok := msg.(workerHeartbeat); ok {
			refuseHeartbeat(m)
		}
		return
	}
	if m, ok := msg.(stopRequest); ok {
		a.stopped = true
		m.stopped()
		return
	}
	now := time.Now()
	if !a.apply(now, msg) {
		return
	}
	if a.pacer.startStep(now, constants.MinOwnerStepInterval) {
		a.step(ctx, now)
	}
}

// apply passes the content of a message to the core, and returns whether a step may follow.
func (a *shardActor) apply(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case records.Update:
		for _, change := range m.Changes {
			a.core.Apply(now, change)
		}
		a.revision = m.Revision
	case apiserver.JobCancelled:
		a.core.ApplyCancellation(m.JobID)
	case workerHeartbeat:
		a.handleHeartbeat(now, m)
	case authorityChanged:
		a.core.SetAuthority(m.until)
	case packingEnabled:
		a.core.EnablePacking()
	case leader.Forecast:
		a.core.ApplyForecast(now, m)
	case machineTypesRead:
		a.core.SetTypes(m.types)
	case wake:
		a.pacer.noteWake(m)
	case peerMisroutedHeartbeats:
		a.core.ApplyMisroutedHeartbeats(now, m.machines, m.allPeersInContact)
		return false
	case []leader.Aggregate:
		a.core.ApplyOtherShards(now, m)
		return false
	case shardPlanRequest:
		plan, err := a.core.PlanDrain(now, &m.selection)
		m.answer <- shardPlanAnswer{plan, err}
		return false
	default:
		a.applyResult(now, msg)
	}
	return true
}

// applyResult passes the result of a call to the core.
func (a *shardActor) applyResult(now time.Time, msg any) {
	switch m := msg.(type) {
	case shardCommitDone:
		if m.result.isInvalidRequest() {
			a.core.CommitInvalid(m.id)
		}
		a.core.CommitResult(now, m.id, m.result.revision)
	case commandDone:
		if m.result.Err != nil {
			slog.Debug("worker did not answer a direct command", logkey.Machine, m.machine, logkey.Err, m.result.Err)
		}
		a.core.CommandResult(now, m.machine, m.result.Heartbeat)
	case scaleOutDone:
		a.core.ScaleOutResult(now, m.requestID, m.machines, m.err != nil)
	case scaleInDone:
		a.core.ScaleInResult(now, m.machines)
	case machinesListed:
		a.machineList.reading = false
		if m.err == nil {
			a.machineList.size = len(m.machines)
			a.core.ApplyMachineList(now, m.machines)
		}
	}
}

// handleHeartbeat answers a worker's heartbeat, or refuses it if the core does not accept
// it.
func (a *shardActor) handleHeartbeat(now time.Time, m workerHeartbeat) {
	reply, err := a.core.Heartbeat(now, m.heartbeat)
	if err != nil {
		refuseHeartbeat(m)
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: records.Encode(reply)})
}

// step runs a step of the core, starts the actions that it decided, and does the periodic
// work that is due.
func (a *shardActor) step(ctx context.Context, now time.Time) {
	for _, action := range a.core.Step(now) {
		a.perform(ctx, action)
	}
	a.sendStatus(now)
	a.checkReachability(now)
	a.readMachineList(ctx, now)
	a.pacer.scheduleTick(constants.MaxOwnerStepInterval)
}

// sendStatus sends the control actor this shard's status if it is due, and requests a new
// term if the numbers of the current term are nearly used up.
func (a *shardActor) sendStatus(now time.Time) {
	age := now.Sub(a.statusSentAt)
	due := age > constants.MaxPushInterval || age > a.core.PushInterval() && a.core.PushDue()
	if !due {
		return
	}
	a.statusSentAt = now
	status := shardStatus{shard: a.shard, aggregate: a.core.Aggregate(now, a.revision)}
	if now.Sub(a.summarySentAt) >= constants.MaxPushInterval {
		a.summarySentAt = now
		status.counts = a.core.TaskCounts()
		status.summary = a.core.Summary(now)
		status.drains = drain.ShardStatus{Shard: a.shard, Drains: a.core.DrainProgress(), BudgetUsage: a.core.Usage(now)}
	}
	a.control.Tell(status)
	if a.core.IsTermNearlyExhausted() {
		a.control.Tell(newTermRequest{a.shard})
	}
}

// checkReachability tells the control actor if this owner no longer receives the
// heartbeats of its machines. The check scans all machines of the shard, so it runs
// once per ScaleInScanInterval and not at each step.
func (a *shardActor) checkReachability(now time.Time) {
	if now.Sub(a.reachabilityCheckedAt) < constants.ScaleInScanInterval {
		return
	}
	a.reachabilityCheckedAt = now
	if unreachable, misrouted := a.core.IsIsolated(now); unreachable {
		a.control.Tell(shardUnreachable{shard: a.shard, heartbeatsMisrouted: misrouted})
	}
}

// readMachineList starts to read the cloud's list of machines if a read is due. A long list
// is read less often, except while the shard is unreachable: the list then shows whether
// its machines are cut off or have been terminated.
func (a *shardActor) readMachineList(ctx context.Context, now time.Time) {
	interval := constants.CloudListInterval
	if !a.core.IsPartitioned() {
		interval *= time.Duration(1 + a.machineList.size/wire.MaxMachinesListed)
	}
	if a.machineList.reading || now.Sub(a.machineList.readAt) <= interval {
		return
	}
	a.machineList.reading = true
	a.machineList.readAt = now
	go func() {
		machines, err := a.cloud.Machines(ctx)
		a.self.Tell(machinesListed{machines, err})
	}()
}
