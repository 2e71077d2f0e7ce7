package controller

import (
	"context"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
)

// leaderActor runs the leader's core in one term and carries out its decisions.
type leaderActor struct {
	core        *leader.Core
	store       Store
	urgentStore Store // for urgent assignments, where users notice a delay of a second
	self        *actor.Ref
	control     *actor.Ref
	pacer       stepPacer
	stopped     bool // for a transfer of the term; all later messages are ignored

	revision       uint64
	forecastSentAt time.Time
}

// newLeaderActor returns the leader's actor under the term that is stored with the given
// version.
func newLeaderActor(c *controlActor, termVersion uint64, now time.Time) *leaderActor {
	self := actor.NewRef()
	a := &leaderActor{
		core:        leader.New(c.settings, termVersion, now, c.feed.jobs, c.feed.jobVersions),
		store:       c.dependencies.Background,
		urgentStore: c.dependencies.Urgent,
		self:        self,
		control:     c.self,
		pacer:       stepPacer{self: self},
		revision:    c.feed.revision,
	}
	a.core.SetTypes(c.machineTypes.known)
	a.core.SetAuthority(c.authorityEnd())
	if c.feed.packing {
		a.core.EnablePacking()
	}
	return a
}

// Receive implements actor.Handler.
func (a *leaderActor) Receive(ctx context.Context, msg any) {
	if a.stopped {
		return
	}
	if m, ok := msg.(stopRequest); ok {
		a.stopped = true
		m.stopped()
		return
	}
	now := time.Now()
	a.apply(now, msg)
	if a.pacer.startStep(now, constants.MinLeaderRoundInterval) {
		a.step(ctx, now)
	}
}

// apply passes the content of a message to the core.
func (a *leaderActor) apply(now time.Time, msg any) {
	switch m := msg.(type) {
	case records.Update:
		for _, change := range m.Changes {
			if job, ok := change.Record.(*records.Job); ok {
				a.core.ApplyJob(now, job.ID, job, change.Version)
			}
		}
		a.revision = m.Revision
	case leader.Aggregate:
		a.core.ApplyAggregate(now, m)
	case machineTypesRead:
		a.core.SetTypes(m.types)
	case authorityChanged:
		a.core.SetAuthority(m.until)
	case packingEnabled:
		a.core.EnablePacking()
	case assignmentDone:
		if m.result.isInvalidRequest() {
			a.core.EnablePacking()
		}
		a.core.ApplyCommitResult(now, m.jobID, m.urgent, m.result.revision)
	case wake:
		a.pacer.noteWake(m)
	}
}

// step runs a step of the core and starts to write the assignments that it decided. It
// also sends the control actor the forecasts when these are due.
func (a *leaderActor) step(ctx context.Context, now time.Time) {
	for _, assignment := range a.core.Step(now) {
		go a.commit(ctx, assignment)
	}
	if now.Sub(a.forecastSentAt) >= constants.ForecastInterval {
		a.forecastSentAt = now
		a.control.Tell(shardForecasts(a.core.BuildForecasts(now, a.revision)))
	}
	a.pacer.scheduleTick(constants.LeaderTickInterval)
}

// commit writes an assignment. It runs on its own goroutine, outside the actor.
func (a *leaderActor) commit(ctx context.Context, assignment leader.Commit) {
	store := a.store
	if assignment.Urgent {
		store = a.urgentStore
	}
	result := commit(ctx, store, writeRequest{
		txn:         assignment.Txn,
		description: "assignment of " + assignment.JobID,
		urgent:      assignment.Urgent,
	})
	a.self.Tell(assignmentDone{assignment.JobID, assignment.Urgent, result})
}
