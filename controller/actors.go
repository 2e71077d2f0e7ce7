package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/cloud"
	"ravenport/constants"
	"ravenport/drain"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// Messages to leader and owners.
type (
	authorityExtended time.Time // may act until then
	commitDone        struct {
		id          string
		shardCommit shard.CommitID // the transaction of a shard owner
		revision    uint64         // 0: not known to have been written
		invalid     bool           // the state service found fault with it
		urgent      bool
	}
	packingEnabled struct{} // every controller reads packed records
	commandDone    struct {
		machine string
		result  worker.Result
	}
	scaleOutDone struct {
		requestID string
		machines  []string
		refused   bool
	}
	scaleInDone    struct{ machines []string }
	machinesListed struct {
		machines []wire.CloudMachine
		err      error
	}
	misroutedHeartbeats struct { // machines that reported to another controller
		machines      []shard.MisroutedHeartbeat
		allPeersHeard bool // every live controller was heard from lately
	}
	shardForecasts map[string]leader.Forecast // by shard; nil: nothing
	wake           struct{ deferredStep bool }
	stopRequest    struct{ stopped func() } // stop for good, then say so
)

// commit carries out a transaction and returns its revision, 0 if it is not
// known to have been written. One without an answer is repeated: its
// conditions make that safe. One that the service found fault with is not.
// Urgent ones are repeated at once where the allowance alone was in the way.
func commit(ctx context.Context, store Store, txn wire.Txn, what string, urgent bool) commitDone {
	ctx, cancel := context.WithTimeout(ctx, 2*constants.StoreTimeout)
	defer cancel()
	began := time.Now()
	var rev uint64
	once := func() (err error) {
		rev, err = store.Commit(ctx, txn)
		return err
	}
	err := kvstore.Retry(ctx, func() error {
		if !urgent {
			return once()
		}
		return kvstore.RetryRateLimited(ctx, 2*constants.StoreTimeout, constants.UrgentRetryInterval, constants.UrgentRetryInterval, once)
	})
	if err != nil {
		var conflict *kvstore.ConflictError
		if errors.As(err, &conflict) {
			slog.Debug("overtaken", "what", what, "err", err)
		} else if errors.Is(err, kvstore.ErrInvalidRequest) {
			for _, ch := range txn.Changes {
				slog.Error("write found invalid", "key", ch.Put, "bytes", len(ch.Value), "changes", len(txn.Changes), "err", err)
			}
			return commitDone{invalid: true}
		} else if ctx.Err() == nil {
			slog.Info("not written", "what", what, "err", err)
		}
		return commitDone{}
	}
	slog.Debug("written", "what", what, "took_ms", time.Since(began).Milliseconds())
	return commitDone{revision: rev}
}

// stepPacer keeps an actor's steps apart: what comes in between is decided together.
type stepPacer struct {
	lastStep      time.Time // of the last step
	stepScheduled bool      // a wake for the next one is on its way
	tickScheduled bool      // a wake of the actor's regular tick is on its way
}

// noteWake notes that a wake came.
func (p *stepPacer) noteWake(w wake) {
	if w.deferredStep {
		p.stepScheduled = false
	} else {
		p.tickScheduled = false
	}
}

// scheduleTick has self woken after a time, unless that is under way already.
func (p *stepPacer) scheduleTick(after time.Duration, self *actor.Ref) {
	if p.tickScheduled {
		return
	}
	p.tickScheduled = true
	time.AfterFunc(after, func() { self.Tell(wake{}) })
}

// isStepDue says whether the next step may be made; if not, self is woken when it may.
func (p *stepPacer) isStepDue(now time.Time, gap time.Duration, self *actor.Ref) bool {
	wait := p.lastStep.Add(gap).Sub(now)
	if wait <= 0 {
		p.lastStep = now
		return true
	}
	if !p.stepScheduled {
		p.stepScheduled = true
		time.AfterFunc(wait, func() { self.Tell(wake{deferredStep: true}) })
	}
	return false
}

// leaderActor runs the leader's decisions.
type leaderActor struct {
	core        *leader.Core
	store       Store
	urgentStore Store // for assignments that users wait for by the second
	self        *actor.Ref
	pacer       stepPacer
	stopped     bool // halted

	control    *actor.Ref
	revision   uint64
	forecastAt time.Time
}

func (a *leaderActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	if a.stopped {
		return
	}
	switch m := msg.(type) {
	case stopRequest:
		a.stopped = true
		m.stopped()
		return
	case records.Update:
		for _, ch := range m.Changes {
			if j, ok := ch.Record.(*records.Job); ok {
				a.core.ApplyJob(now, j.ID, j, ch.Version)
			}
		}
		a.revision = m.Revision
	case leader.Aggregate:
		a.core.ApplyAggregate(now, m)
	case authorityExtended:
		a.core.SetAuthority(time.Time(m))
	case packingEnabled:
		a.core.EnablePacking()
	case commitDone:
		if m.invalid {
			a.core.EnablePacking()
		}
		a.core.ApplyCommitResult(now, m.id, m.urgent, m.revision)
	case wake:
		a.pacer.noteWake(m)
	}
	if !a.pacer.isStepDue(now, constants.LeaderRoundGap, a.self) {
		return
	}
	for _, cm := range a.core.Step(now) {
		go func() {
			store := a.store
			if cm.Urgent {
				store = a.urgentStore
			}
			r := commit(ctx, store, cm.Txn, "assignment of "+cm.JobID, cm.Urgent)
			r.id, r.urgent = cm.JobID, cm.Urgent
			a.self.Tell(r)
		}()
	}
	if now.Sub(a.forecastAt) >= constants.ForecastInterval {
		a.forecastAt = now
		a.control.Tell(shardForecasts(a.core.BuildForecasts(now, a.revision)))
	}
	a.pacer.scheduleTick(constants.LeaderTick, a.self)
}

// shardActor runs one owner's decisions and does its calls.
type shardActor struct {
	core           *shard.Core
	shard          string
	store          Store
	cloud          Cloud
	self           *actor.Ref
	control        *actor.Ref
	workers        Workers
	revision       uint64
	pacer          stepPacer
	statusAt       time.Time
	summaryAt      time.Time
	reachabilityAt time.Time // when it was last asked whether the shard is cut off
	listAt         time.Time
	listing        bool
	listSize       int  // machines on the last list
	stopped        bool // halted
}

func newShardActor(c *controlActor, name string, term, version uint64, now time.Time, inventory map[string]*records.InventoryPage, inventoryV map[string]uint64) *shardActor {
	set := c.set
	limits := set.StoreLimits()
	cfg := shard.Config{
		Shard: name, HeartbeatPeriod: set.HeartbeatPeriod(), LeaseExpiry: set.WorkerLeaseExpiry(), LeaseExtension: set.LeaseExtension(),
		SpotIdleTimeout: set.Operator.SpotIdleTimeout, OnDemandIdleTimeout: set.Operator.OnDemandIdleTimeout, UseSpot: set.Operator.UseSpot, CloseBeforeScaleIn: set.Duties.CordonBeforeScaleIn,
		GangStartTimeout: settings.Seconds(set.Deployment.Workers.GangWaitTimeoutS), GangPeerTimeout: settings.Seconds(set.Deployment.Workers.GangPeerTimeoutS),
		CloudListLag: time.Duration(set.Deployment.Cloud.ListLagS * float64(time.Second)),
		SizeLimits:   set.RecordSizeLimits(), MaxTxnOps: limits.TxnOps, MaxWritesPerSecond: max(limits.WriteRPS, 1), CloudCallInterval: set.CloudCallInterval(), JobOrder: leader.NewJobOrder(set.Deployment.Objectives), RoundBudget: set.RoundBudget(),
	}
	cfg.MaxDirectCommands = set.SocketLimits().DirectCommands
	a := &shardActor{shard: name, store: c.dependencies.Background, cloud: c.dependencies.Cloud, self: actor.NewRef(), control: c.self,
		workers: c.dependencies.Workers(), revision: c.revision}
	a.core = shard.New(cfg, term, version, now, c.machineTypes, c.jobs, c.jobVersions, inventory, inventoryV)
	a.core.SetAuthority(c.authorityEnd())
	if c.packing {
		a.core.EnablePacking()
	}
	if set.Draining != nil {
		a.core.StartDraining(now, c.drainingConfig(), c.jobs, c.drainRecords.changes())
	}
	a.self.Tell(wake{})
	return a
}

// Receive implements actor.Handler.
func (a *shardActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	if a.stopped {
		if b, ok := msg.(workerHeartbeat); ok {
			refuseHeartbeat(b)
		}
		return
	}
	switch m := msg.(type) {
	case stopRequest:
		a.stopped = true
		m.stopped()
		return
	case records.Update:
		for _, ch := range m.Changes {
			a.core.Apply(now, ch)
		}
		a.revision = m.Revision
	case apiserver.JobCancelled:
		a.core.ApplyCancellation(m.JobID)
	case workerHeartbeat:
		a.handleHeartbeat(now, m)
	case authorityExtended:
		a.core.SetAuthority(time.Time(m))
	case packingEnabled:
		a.core.EnablePacking()
	case commitDone:
		if m.invalid {
			a.core.CommitInvalid(m.shardCommit)
		}
		a.core.CommitResult(now, m.shardCommit, m.revision)
	case commandDone:
		if m.result.Err != nil {
			slog.Debug("direct command unanswered", "machine", m.machine, "err", m.result.Err)
		}
		a.core.CommandResult(now, m.machine, m.result.Heartbeat)
	case scaleOutDone:
		a.core.ScaleOutResult(now, m.requestID, m.machines, m.refused)
	case scaleInDone:
		a.core.ScaleInResult(now, m.machines)
	case machinesListed:
		a.listing = false
		if m.err == nil {
			a.listSize = len(m.machines)
			a.core.ApplyMachineList(now, m.machines)
		}
	case misroutedHeartbeats:
		a.core.ApplyMisroutedHeartbeats(now, m.machines, m.allPeersHeard)
		return
	case []leader.Aggregate:
		a.core.ApplyOtherShards(now, m)
		return
	case leader.Forecast:
		a.core.ApplyForecast(now, m)
	case machineTypesRead:
		a.core.SetTypes(m.types)
	case shardPlanRequest:
		m.answer <- a.core.PlanDrain(now, &m.selection)
		return
	case wake:
		a.pacer.noteWake(m)
	}
	if !a.pacer.isStepDue(now, constants.MinOwnerStepInterval, a.self) {
		return
	}
	for _, act := range a.core.Step(now) {
		a.perform(ctx, act)
	}
	a.runPeriodicWork(ctx, now)
}

func refuseHeartbeat(m workerHeartbeat) {
	m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"error":"not entitled"}`), RetryAfterS: constants.RetryAfterS})
}

func (a *shardActor) handleHeartbeat(now time.Time, m workerHeartbeat) {
	reply, ok := a.core.Heartbeat(now, m.heartbeat)
	if !ok {
		refuseHeartbeat(m)
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: records.Encode(reply)})
}

// runPeriodicWork does what is not the core's: ticks, pushes and the cloud's list.
func (a *shardActor) runPeriodicWork(ctx context.Context, now time.Time) {
	due := now.Sub(a.statusAt) > constants.MaxPushInterval
	if due || now.Sub(a.statusAt) > a.core.PushInterval() && a.core.PushDue() {
		a.statusAt = now
		st := shardStatus{shard: a.shard, aggregate: a.core.Aggregate(now, a.revision)}
		if now.Sub(a.summaryAt) >= constants.MaxPushInterval {
			a.summaryAt = now
			st.counts, st.summary = a.core.TaskCounts(), a.core.Summary(now)
			st.drains = drain.ShardStatus{Shard: a.shard, Drains: a.core.DrainProgress(), BudgetUsage: a.core.Usage(now)}
		}
		a.control.Tell(st)
		if a.core.IsTermNearlyExhausted() {
			a.control.Tell(newTermRequest{a.shard})
		}
	}
	if now.Sub(a.reachabilityAt) >= constants.ScaleInScanInterval { // it looks at the whole fleet
		a.reachabilityAt = now
		if silent, seen := a.core.IsIsolated(now); silent {
			a.control.Tell(shardUnreachable{a.shard, seen})
		}
	}
	every := constants.CloudListInterval
	if !a.core.IsPartitioned() { // the list tells whether its machines are cut off or gone
		every *= time.Duration(1 + a.listSize/wire.MaxMachinesListed)
	}
	if !a.listing && now.Sub(a.listAt) > every {
		a.listing, a.listAt = true, now
		go func() {
			l, err := a.cloud.Machines(ctx)
			a.self.Tell(machinesListed{l, err})
		}()
	}
	a.pacer.scheduleTick(constants.MaxOwnerStepInterval, a.self)
}

func (a *shardActor) perform(ctx context.Context, act shard.Action) {
	switch act := act.(type) {
	case shard.SendCommands:
		a.workers.Send(ctx, act.Addr, act.Request, func(r worker.Result) { a.self.Tell(commandDone{act.Machine, r}) })
	case shard.CloseConnection:
		a.workers.Forget(act.Addr)
	case shard.Commit:
		go func() {
			r := commit(ctx, a.store, act.Txn, act.ID.String(), false)
			r.shardCommit = act.ID
			a.self.Tell(r)
		}()
	case shard.ScaleOut:
		go func() {
			var names []string
			err := retryCloudCall(ctx, "rental", func() (err error) { names, err = a.cloud.ScaleOut(ctx, act.Request); return err })
			a.self.Tell(scaleOutDone{act.Request.RequestID, names, err != nil})
		}()
	case shard.ScaleIn:
		go func() {
			if err := retryCloudCall(ctx, "return", func() error { return a.cloud.ScaleIn(ctx, act.Names) }); err == nil {
				a.self.Tell(scaleInDone{act.Names})
			}
		}()
	}
}

// retryCloudCall repeats a call to the cloud until it is answered or ctx ends.
func retryCloudCall(ctx context.Context, what string, call func() error) error {
	wait := constants.RetryBackoffMin
	for {
		err := call()
		if !errors.Is(err, cloud.ErrTransient) {
			return err
		}
		slog.Info("cloud call failed", "what", what, "err", err)
		t := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
		wait = min(2*wait, constants.RetryBackoffMax)
	}
}
