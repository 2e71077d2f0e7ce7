// Package leader assigns tasks to shards. It ranks the waiting jobs, ranks the shards for
// each job by the aggregates that their owners push, and passes the job down that order,
// within its team's guaranteed quota and quota limit. It is pure: aggregates, job records
// and time in, compare-and-swap transactions of changed job records out.
package leader

import (
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// Core holds the state of the leader in one term. It is not safe for concurrent use.
type Core struct {
	settings    *settings.Settings
	order       JobOrder
	sizeLimits  records.SizeLimits
	termVersion uint64 // of the term's record, on which every commit is conditional

	startedAt      time.Time
	authorityUntil time.Time

	shards     map[string]*shardState
	jobs       map[string]*jobState // all that have not ended
	unassigned map[string]*jobState // those with tasks in no assignment

	usedQuota      map[string]quotaAmount // by team: of open and of in-flight assignments
	reservedQuota  map[string]quotaAmount // by job: of its in-flight assignment
	limitReachedAt map[string]time.Time   // by team: when its quota limit last kept a job waiting

	nonUrgentInFlight int // commits without a result, the urgent ones not included
	urgentInFlight    int

	resumeAfter *Rank            // where the last round ran out of its time budget
	roundClock  func() time.Time // measures a round
	roundBudget time.Duration    // of a round
}

// shardState is what the leader knows of a shard.
type shardState struct {
	aggregate    Aggregate
	updatedAt    time.Time // when the aggregate arrived
	reservations []capacityReservation
}

// jobState is a job that has not ended.
type jobState struct {
	record        *records.Job
	version       uint64 // of the record
	isInFlight    bool   // a commit of the job has no result yet
	reassignments int    // how often owners sent tasks back
	retryAt       time.Time
	hasUnassigned bool        // some tasks are in no assignment
	openQuota     quotaAmount // of its open assignments
	rank          Rank        // as of the last round
}

// Commit is a compare-and-swap transaction that changes a job's record.
type Commit struct {
	JobID string
	Txn   wire.Txn
	// Urgent commits are repeated until they are written: a user waits for the job to
	// begin.
	Urgent bool
}

// New returns the leader's state at the moment when the feed showed that the term was
// acquired. termVersion is the version of the term's record; versions are those of the
// jobs' records, by job.
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

// SetRoundClock replaces the clock that measures a round. Tests use it, since on a busy
// machine the real one would cut rounds at different places every time.
func (c *Core) SetRoundClock(clock func() time.Time) { c.roundClock = clock }

// SetAuthority sets until when the leader may assign.
func (c *Core) SetAuthority(until time.Time) { c.authorityUntil = until }

// EnablePacking allows the packed encoding of records. The caller knows that no process
// of the version before, which cannot read it, can join any more.
func (c *Core) EnablePacking() { c.sizeLimits.PackingEnabled = true }

// Step runs one round: it assigns tasks of the waiting jobs in the order of their rank
// and returns the commits to write. A round that runs out of its time budget is continued
// by the next call.
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

// rankedQueue lists the jobs that may be assigned now by rank.
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

// takeResumeIndex returns the index in the queue at which this round starts: after the
// rank where the last one stopped, whatever joined or left the queue in between, or else
// at the head.
func (c *Core) takeResumeIndex(queue []*jobState) int {
	if c.resumeAfter == nil {
		return 0
	}
	start := sort.Search(len(queue), func(i int) bool { return c.resumeAfter.Before(queue[i].rank) })
	c.resumeAfter = nil
	return start
}

// hasInFlightSlot reports whether one more commit of the job's kind may be in flight. The
// bound lets later jobs of a higher rank go first once some commits were written. Urgent
// ones are few at once: each is repeated until it is written, and hundreds at a cold start
// took the key-value store's request allowance from everything else.
func (c *Core) hasInFlightSlot(job *jobState) bool {
	if job.record.Spec.AllOrNothing() {
		return c.urgentInFlight < constants.MaxUrgentInFlight
	}
	return c.nonUrgentInFlight < constants.MaxAssignmentsInFlight
}

// blocksTeam reports whether a job over its team's quota limit holds back the team's jobs
// behind it until enough of the quota is free: a large service is admitted whole, and
// small ones would take every bit of the quota that becomes free. This ends after a
// while, since running services may never free any.
func (c *Core) blocksTeam(now time.Time, record *records.Job) bool {
	return IsOverdue(now, record, len(record.Assignments) > 0) && jobAge(now, record) < constants.OverdueAfter+constants.CapacityHoldTime
}
