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
	authority time.Time // may act until then
	committed struct {
		id       string
		revision uint64 // 0: not known to have been written
		invalid  bool   // the state service found fault with it
		urgent   bool
	}
	packs       struct{} // every controller reads packed records
	commandDone struct {
		machine string
		result  worker.Result
	}
	rented struct {
		request string
		names   []string
		refused bool
	}
	returned struct{ names []string }
	listed   struct {
		machines []wire.CloudMachine
		err      error
	}
	misroutedReports struct { // machines that reported to another controller
		machines []shard.MisroutedHeartbeat
		all      bool // every live controller was heard from lately
	}
	forecast map[string]leader.Forecast // by shard; nil: nothing
	wake     struct{ soon bool }
	halt     struct{ done func() } // stop for good, then say so
)

// commit carries out a transaction and returns its revision, 0 if it is not
// known to have been written. One without an answer is repeated: its
// conditions make that safe. One that the service found fault with is not.
// Urgent ones are repeated at once where the allowance alone was in the way.
func commit(ctx context.Context, store Store, txn wire.Txn, what string, urgent bool) committed {
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
			return committed{invalid: true}
		} else if ctx.Err() == nil {
			slog.Info("not written", "what", what, "err", err)
		}
		return committed{}
	}
	slog.Debug("written", "what", what, "took_ms", time.Since(began).Milliseconds())
	return committed{revision: rev}
}

// pace keeps an actor's steps apart: what comes in between is decided together.
type pace struct {
	at    time.Time // of the last step
	soon  bool      // a wake for the next one is on its way
	ticks bool      // a wake of the actor's regular tick is on its way
}

// woke notes that a wake came.
func (p *pace) woke(w wake) {
	if w.soon {
		p.soon = false
	} else {
		p.ticks = false
	}
}

// tick has self woken after a time, unless that is under way already.
func (p *pace) tick(after time.Duration, self *actor.Ref) {
	if p.ticks {
		return
	}
	p.ticks = true
	time.AfterFunc(after, func() { self.Tell(wake{}) })
}

// due says whether the next step may be made; if not, self is woken when it may.
func (p *pace) due(now time.Time, gap time.Duration, self *actor.Ref) bool {
	wait := p.at.Add(gap).Sub(now)
	if wait <= 0 {
		p.at = now
		return true
	}
	if !p.soon {
		p.soon = true
		time.AfterFunc(wait, func() { self.Tell(wake{soon: true}) })
	}
	return false
}

// leaderActor runs the leader's decisions.
type leaderActor struct {
	core   *leader.Core
	store  Store
	urgent Store // for assignments that users wait for by the second
	self   *actor.Ref
	pace   pace
	over   bool // halted

	control    *actor.Ref
	revision   uint64
	forecastAt time.Time
}

func (a *leaderActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	if a.over {
		return
	}
	switch m := msg.(type) {
	case halt:
		a.over = true
		m.done()
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
	case authority:
		a.core.SetAuthority(time.Time(m))
	case packs:
		a.core.EnablePacking()
	case committed:
		if m.invalid {
			a.core.EnablePacking()
		}
		a.core.ApplyCommitResult(now, m.id, m.urgent, m.revision)
	case wake:
		a.pace.woke(m)
	}
	if !a.pace.due(now, constants.LeaderRoundGap, a.self) {
		return
	}
	for _, cm := range a.core.Step(now) {
		go func() {
			store := a.store
			if cm.Urgent {
				store = a.urgent
			}
			r := commit(ctx, store, cm.Txn, "assignment of "+cm.JobID, cm.Urgent)
			r.id, r.urgent = cm.JobID, cm.Urgent
			a.self.Tell(r)
		}()
	}
	if now.Sub(a.forecastAt) >= constants.ForecastInterval {
		a.forecastAt = now
		a.control.Tell(forecast(a.core.BuildForecasts(now, a.revision)))
	}
	a.pace.tick(constants.LeaderTick, a.self)
}

// shardActor runs one owner's decisions and does its calls.
type shardActor struct {
	core     *shard.Core
	shard    string
	store    Store
	cloud    Cloud
	self     *actor.Ref
	control  *actor.Ref
	workers  Workers
	revision uint64
	pace     pace
	pushAt   time.Time
	countAt  time.Time
	censusAt time.Time // when it was last asked whether the shard is cut off
	listAt   time.Time
	listing  bool
	listed   int  // machines on the last list
	over     bool // halted
}

func newShardActor(c *control, name string, term, version uint64, now time.Time, inventory map[string]*records.Page, inventoryV map[string]uint64) *shardActor {
	set := c.set
	limits := set.StoreLimits()
	cfg := shard.Config{
		Shard: name, HeartbeatPeriod: set.HeartbeatPeriod(), LeaseEnd: set.WorkerLeaseExpiry(), LeaseExtension: set.LeaseExtension(),
		IdleSpot: set.Operator.SpotIdleTimeout, IdleOnDemand: set.Operator.OnDemandIdleTimeout, UseSpot: set.Operator.UseSpot, CloseFirst: set.Duties.CordonBeforeScaleIn,
		GangWait: settings.Seconds(set.Deployment.Workers.GangWaitTimeoutS), GangPeer: settings.Seconds(set.Deployment.Workers.GangPeerTimeoutS),
		ListLag:    time.Duration(set.Deployment.Cloud.ListLagS * float64(time.Second)),
		SizeLimits: set.RecordSizeLimits(), TxnOps: limits.TxnOps, WriteRPS: max(limits.WriteRPS, 1), CloudGap: set.CloudCallInterval(), Order: leader.NewJobOrder(set.Deployment.Objectives), RoundBudget: set.RoundBudget(),
	}
	cfg.MaxDirectCommands = set.SocketLimits().DirectCommands
	a := &shardActor{shard: name, store: c.io.Background, cloud: c.io.Cloud, self: actor.NewRef(), control: c.self,
		workers: c.io.Workers(), revision: c.revision}
	a.core = shard.New(cfg, term, version, now, c.types, c.jobs, c.versions, inventory, inventoryV)
	a.core.SetAuthority(c.until())
	if c.packs {
		a.core.EnablePacking()
	}
	if set.Draining != nil {
		a.core.StartDraining(now, c.drainingConfig(), c.jobs, c.drains.changes())
	}
	a.self.Tell(wake{})
	return a
}

// Receive implements actor.Handler.
func (a *shardActor) Receive(ctx context.Context, msg any) {
	now := time.Now()
	if a.over {
		if b, ok := msg.(workerReport); ok {
			refuseReport(b)
		}
		return
	}
	switch m := msg.(type) {
	case halt:
		a.over = true
		m.done()
		return
	case records.Update:
		for _, ch := range m.Changes {
			a.core.Apply(now, ch)
		}
		a.revision = m.Revision
	case apiserver.JobCancelled:
		a.core.Cancelled(m.JobID)
	case workerReport:
		a.workerReport(now, m)
	case authority:
		a.core.SetAuthority(time.Time(m))
	case packs:
		a.core.EnablePacking()
	case committed:
		if m.invalid {
			a.core.CommitInvalid(m.id)
		}
		a.core.CommitResult(now, m.id, m.revision)
	case commandDone:
		if m.result.Err != nil {
			slog.Debug("direct command unanswered", "machine", m.machine, "err", m.result.Err)
		}
		a.core.CommandResult(now, m.machine, m.result.Heartbeat)
	case rented:
		a.core.ScaleOutResult(now, m.request, m.names, m.refused)
	case returned:
		a.core.ScaleInResult(now, m.names)
	case listed:
		a.listing = false
		if m.err == nil {
			a.listed = len(m.machines)
			a.core.ApplyMachineList(now, m.machines)
		}
	case misroutedReports:
		a.core.ApplyMisroutedHeartbeats(now, m.machines, m.all)
		return
	case []leader.Aggregate:
		a.core.ApplyOtherShards(now, m)
		return
	case leader.Forecast:
		a.core.ApplyForecast(now, m)
	case typesRead:
		a.core.SetTypes(m.types)
	case shardPlanAsked:
		m.answer <- a.core.PlanDrain(now, &m.selection)
		return
	case wake:
		a.pace.woke(m)
	}
	if !a.pace.due(now, constants.OwnerGap, a.self) {
		return
	}
	for _, act := range a.core.Step(now) {
		a.do(ctx, act)
	}
	a.after(ctx, now)
}

func refuseReport(m workerReport) {
	m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"error":"not entitled"}`), RetryAfterS: constants.RetryAfterS})
}

func (a *shardActor) workerReport(now time.Time, m workerReport) {
	reply, ok := a.core.Heartbeat(now, m.report)
	if !ok {
		refuseReport(m)
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: records.Encode(reply)})
}

// after does what is not the core's: ticks, pushes and the cloud's list.
func (a *shardActor) after(ctx context.Context, now time.Time) {
	due := now.Sub(a.pushAt) > constants.PushEvery
	if due || now.Sub(a.pushAt) > a.core.PushInterval() && a.core.PushDue() {
		a.pushAt = now
		st := shardStatus{shard: a.shard, aggregate: a.core.Aggregate(now, a.revision)}
		if now.Sub(a.countAt) >= constants.PushEvery {
			a.countAt = now
			st.counts, st.summary = a.core.Counts(), a.core.Summary(now)
			st.drains = drain.ShardView{Shard: a.shard, Drains: a.core.DrainProgress(), Usage: a.core.Usage(now)}
		}
		a.control.Tell(st)
		if a.core.TermNumbersLow() {
			a.control.Tell(termUsedUp{a.shard})
		}
	}
	if now.Sub(a.censusAt) >= constants.CensusEvery { // it looks at the whole fleet
		a.censusAt = now
		if silent, seen := a.core.CutOff(now); silent {
			a.control.Tell(cutOff{a.shard, seen})
		}
	}
	every := constants.CloudListEvery
	if !a.core.Unreachable() { // the list tells whether its machines are cut off or gone
		every *= time.Duration(1 + a.listed/wire.MaxList)
	}
	if !a.listing && now.Sub(a.listAt) > every {
		a.listing, a.listAt = true, now
		go func() {
			l, err := a.cloud.Machines(ctx)
			a.self.Tell(listed{l, err})
		}()
	}
	a.pace.tick(constants.OwnerTick, a.self)
}

func (a *shardActor) do(ctx context.Context, act shard.Action) {
	switch act := act.(type) {
	case shard.SendCommands:
		a.workers.Send(ctx, act.Addr, act.Request, func(r worker.Result) { a.self.Tell(commandDone{act.Machine, r}) })
	case shard.Gone:
		a.workers.Forget(act.Addr)
	case shard.Commit:
		go func() {
			r := commit(ctx, a.store, act.Txn, act.ID, false)
			r.id = act.ID
			a.self.Tell(r)
		}()
	case shard.ScaleOut:
		go func() {
			var names []string
			err := insist(ctx, "rental", func() (err error) { names, err = a.cloud.ScaleOut(ctx, act.Request); return err })
			a.self.Tell(rented{act.Request.RequestID, names, err != nil})
		}()
	case shard.ScaleIn:
		go func() {
			if err := insist(ctx, "return", func() error { return a.cloud.ScaleIn(ctx, act.Names) }); err == nil {
				a.self.Tell(returned{act.Names})
			}
		}()
	}
}

// insist repeats a call to the cloud until it is answered or ctx ends.
func insist(ctx context.Context, what string, call func() error) error {
	wait := constants.RetryBackoffMin
	for {
		err := call()
		if !errors.Is(err, cloud.ErrTrouble) {
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
