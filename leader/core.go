// Package leader assigns tasks to shards. It ranks the waiting jobs, ranks the shards for
// each job by the aggregates that their owners push, and assigns the job's tasks to the
// shards in that order, within the team's guaranteed quota and quota limit. The package
// does no network I/O: its inputs are aggregates, job records and the time, and its outputs
// are compare-and-swap transactions that change job records.
package leader

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/machinetype"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// Core holds the state of the leader in one term. It is not safe for concurrent use.
type Core struct {
	settings    *settings.Settings
	order       JobOrder
	sizeLimits  records.SizeLimits
	termVersion uint64 // of the term's record; every commit is conditional on it

	startedAt      time.Time
	authorityUntil time.Time

	machineTypes machinetype.Set // that the cloud offers

	shards     map[string]*shardState
	jobs       map[string]*jobState // all jobs that have not ended or have an open assignment
	unassigned map[string]*jobState // the jobs with tasks in no assignment

	usedQuota      map[string]quotaAmount // by team: used by open and in-flight assignments
	reservedQuota  map[string]quotaAmount // by job: used by its in-flight assignments
	limitReachedAt map[string]time.Time   // by team: when its quota limit last kept a job waiting

	nonUrgentInFlight int // commits without a result, except the urgent ones
	urgentInFlight    int // urgent commits without a result

	resumeAfter *Rank            // rank of the job after which the last round exceeded its time budget; nil if it did not
	roundClock  func() time.Time // measures the duration of a round
	roundBudget time.Duration    // longest duration of a round
}

// shardState is the leader's state of one shard.
type shardState struct {
	aggregate    Aggregate
	updatedAt    time.Time // when the leader received the aggregate
	reservations []capacityReservation
}

// jobState is the leader's state of a job that has not ended or has an open assignment.
type jobState struct {
	record        *records.Job
	version       uint64 // of the record
	isInFlight    bool   // a commit of the job has no result yet
	reassignments int    // how many times owners offloaded tasks of the job
	retryAt       time.Time
	hasUnassigned bool        // some tasks are in no assignment
	openQuota     quotaAmount // used by the job's open assignments
	rank          Rank        // in the last round
}

// Commit is a compare-and-swap transaction that changes a job's record.
type Commit struct {
	JobID string
	Txn   wire.Txn
	// Urgent commits are retried until they are written, since a user waits for the job
	// to start.
	Urgent bool
}

// New returns the leader's state at the time when the feed showed that the term was
// acquired. termVersion is the version of the term's record. jobs and versions hold the
// jobs' records and their versions, by job.
func New(set *settings.Settings, termVersion uint64, now time.Time, jobs map[string]*records.Job, versions map[string]uint64) *Core {
	core := &Core{
		settings:       set,
		order:          NewJobOrder(set.Deployment.Objectives),
		sizeLimits:     set.RecordSizeLimits(),
		termVersion:    termVersion,
		startedAt:      now,
		shards:         map[string]*shardState{},
		jobs:           map[string]*jobState{},
		unassigned:     map[string]*jobState{},
		usedQuota:      map[string]quotaAmount{},
		reservedQuota:  map[string]quotaAmount{},
		limitReachedAt: map[string]time.Time{},
		roundClock:     time.Now,
		roundBudget:    set.RoundBudget(),
	}
	for _, zone := range set.Deployment.Zones {
		core.shards[zone] = &shardState{}
	}
	for id, record := range jobs {
		core.ApplyJob(now, id, record, versions[id])
	}
	return core
}

// SetRoundClock replaces the clock that measures a round. Tests use it because with the
// real clock, on a busy computer, each run would end its rounds after different jobs.
func (c *Core) SetRoundClock(clock func() time.Time) { c.roundClock = clock }

// SetAuthority sets the time until which the leader may assign tasks.
func (c *Core) SetAuthority(until time.Time) { c.authorityUntil = until }

// SetTypes sets the machine types that the cloud offers now.
func (c *Core) SetTypes(types []wire.MachineType) { c.machineTypes = machinetype.NewSet(types) }

// EnablePacking allows the packed encoding of records. The caller must know that no process
// of the previous version, which cannot read this encoding, can start any more.
func (c *Core) EnablePacking() { c.sizeLimits.PackingEnabled = true }

// Step runs one round: it assigns tasks of the waiting jobs in the order of their rank
// and returns the commits to write. If a round exceeds its time budget, the next call
// continues it.
func (c *Core) Step(now time.Time) []Commit {
	if !now.Before(c.authorityUntil) {
		return nil
	}
	queue := c.rankedQueue(now)
	roundStart := c.roundClock()
	var commits []Commit
	blockedTeams := map[string]bool{}
	for i := c.takeResumeIndex(queue); i < len(queue); i++ {
		job := queue[i]
		team := job.record.Spec.Team
		if blockedTeams[team] || !c.hasInFlightSlot(job) {
			continue
		}
		commit, outcome := c.assign(now, job)
		switch outcome {
		case assigned:
			commits = append(commits, commit)
		case overQuotaLimit:
			c.limitReachedAt[team] = now
			if c.blocksTeam(now, job.record) {
				blockedTeams[team] = true
			}
		}
		if i+1 < len(queue) && c.roundClock().Sub(roundStart) > c.roundBudget {
			rank := job.rank
			c.resumeAfter = &rank
			break
		}
	}
	return commits
}

// rankedQueue returns the jobs that may be assigned now, sorted by rank.
func (c *Core) rankedQueue(now time.Time) []*jobState {
	queue := make([]*jobState, 0, len(c.unassigned))
	for _, job := range c.unassigned {
		if job.isInFlight || now.Before(job.retryAt) || !c.hasInFlightSlot(job) {
			continue
		}
		queue = append(queue, job)
		job.rank = c.order.Rank(now, job.record, JobProgress{
			WithinGuarantee: c.tasksWithinGuarantee(&job.record.Spec) > 0,
			Started:         len(job.record.Assignments) > 0,
		})
	}
	slices.SortFunc(queue, func(a, b *jobState) int { return a.rank.Compare(b.rank) })
	return queue
}

// takeResumeIndex returns the index in the queue at which this round starts, and clears
// resumeAfter. If the last round exceeded its time budget, this round starts after the rank
// at which the last one stopped, even if jobs have joined or left the queue since.
// Otherwise it starts at the head.
func (c *Core) takeResumeIndex(queue []*jobState) int {
	if c.resumeAfter == nil {
		return 0
	}
	start := sort.Search(len(queue), func(i int) bool { return c.resumeAfter.Before(queue[i].rank) })
	c.resumeAfter = nil
	return start
}

// hasInFlightSlot reports whether one more commit of the job's kind may be in flight. The
// bound allows jobs of a higher rank that arrive later to go first once some commits have
// been written. The bound on urgent commits is low: each is retried until it is written,
// and at a cold start hundreds of them used up the key-value store's rate limit at the
// expense of all other requests.
func (c *Core) hasInFlightSlot(job *jobState) bool {
	if job.record.Spec.AllOrNothing() {
		return c.urgentInFlight < constants.MaxUrgentInFlight
	}
	return c.nonUrgentInFlight < constants.MaxAssignmentsInFlight
}

// blocksTeam reports whether a job that exceeds its team's quota limit blocks the team's
// jobs of lower rank until enough quota is free. Only overdue jobs do this. A large service
// is admitted as a whole, and without the block smaller jobs would use any quota that
// becomes free. The block ends after constants.CapacityHoldTime, since running services may
// never free any quota.
func (c *Core) blocksTeam(now time.Time, record *records.Job) bool {
	return IsOverdue(now, record, len(record.Assignments) > 0) && jobAge(now, record) < constants.OverdueAfter+constants.CapacityHoldTime
}
