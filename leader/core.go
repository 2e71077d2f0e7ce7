// Package leader decides which shard takes which tasks. It is pure: the shards'
// aggregates, records and time in, changed records out.
package leader

import (
	"math"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// FreeCapacity is the free room of one kind of machines of a shard, as the paper's
// aggregates: sum, mean and standard deviation over the machines.
type FreeCapacity struct {
	Machines int     `json:"n"`
	CPUs     Moments `json:"c"`
	GPUs     Moments `json:"g"`
	Memory   Moments `json:"m"`
}

// Moments are the aggregate of one resource.
type Moments struct {
	Sum    float64 `json:"s"`
	Mean   float64 `json:"e"`
	StdDev float64 `json:"d"`
}

// Add counts one machine's free amount; Finish must follow the last.
func (m *Moments) Add(v float64) { m.Sum += v; m.StdDev += v * v }

// Finish turns sums into mean and standard deviation over n machines.
func (m *Moments) Finish(n int) {
	if n == 0 {
		return
	}
	m.Mean = m.Sum / float64(n)
	m.StdDev = math.Sqrt(max(0, m.StdDev/float64(n)-m.Mean*m.Mean))
}

// Aggregate is what an owner pushes.
type Aggregate struct {
	Shard       string       `json:"part"`
	Term        uint64       `json:"term"`
	Revision    uint64       `json:"rev"` // the records that the figures reflect
	OnDemand    FreeCapacity `json:"ord"` // coming machines included
	Spot        FreeCapacity `json:"spot"`
	WaitingCPUs float64      `json:"wait"` // CPUs that wait though no room for them is coming
	// Rentable says whether the shard may still get machines of the kind.
	CanScaleOutOnDemand bool `json:"ro"`
	CanScaleOutSpot     bool `json:"rs"`
	// Preemptible is ordinary room (CPUs) held by work that production work may
	// stop.
	Preemptible float64 `json:"y"`
	// Capacity is all of the machines that take tasks or are coming (CPUs).
	Capacity float64 `json:"cap"`
	// Warm is, by image, ordinary room (CPUs), yielding room included, on
	// machines that hold the image already.
	Warm map[string]float64 `json:"w,omitempty"`
	// Gangs is, by shape, how many tasks of a gang could start now.
	Gangs map[string]GangCapacity `json:"gangs,omitempty"`
	// ReservedForGangs is the room (CPUs) kept ready for gangs.
	ReservedForGangs float64 `json:"gk,omitempty"`
}

// estimateTasks estimates how many tasks of the given size the room takes. The sum
// alone hides that no single machine may have room: tasks per machine are
// counted at two deviations above the mean.
func (r FreeCapacity) estimateTasks(s *wire.Submission) int {
	if r.Machines == 0 {
		return 0
	}
	n := math.MaxInt32
	for _, x := range []struct {
		need float64
		m    Moments
	}{{s.CPUs, r.CPUs}, {s.GPUs, r.GPUs}, {s.MemoryGB, r.Memory}} {
		if x.need <= 0 {
			continue
		}
		if x.m.Mean+2*x.m.StdDev+1e-6 < x.need && x.m.Sum < x.need {
			return 0
		}
		n = min(n, int(x.m.Sum/x.need+1e-6))
	}
	return n
}

// EstimateTasks estimates how many tasks of a job a shard has room for.
func (a *Aggregate) EstimateTasks(s *wire.Submission) int {
	n := a.OnDemand.estimateTasks(s)
	if s.Spot {
		n += a.Spot.estimateTasks(s)
	}
	if s.Priority == wire.PriorityProduction && s.CPUs > 0 {
		n += int(a.Preemptible / s.CPUs)
	}
	return n
}

// capacityReservation is an assignment that a shard's figures do not show yet.
type capacityReservation struct {
	revision        uint64 // 0: under way
	cpus, gpus, mem float64
	spot, gang      bool
	job             string
}

type shardState struct {
	aggregate    Aggregate
	updatedAt    time.Time
	reservations []capacityReservation
}

type jobState struct {
	record        *records.Job
	version       uint64
	isInFlight    bool
	reassignments int
	retryAt       time.Time
	hasUnassigned bool        // tasks of it are in no assignment
	openQuota     quotaAmount // of its open assignments
	rank          Rank        // in the order of the last look at all that wait
}

// Core is the leader in one term.
type Core struct {
	settings       *settings.Settings
	order          JobOrder
	sizes          records.SizeLimits
	termVersion    uint64
	shards         map[string]*shardState
	jobs           map[string]*jobState   // all that are not over
	waiting        map[string]*jobState   // those with tasks in no assignment
	usedQuota      map[string]quotaAmount // by team: of open assignments and of assignments under way
	inFlight       int                    // assignments under way, but for the urgent
	urgentInFlight int
	authorityUntil time.Time
	resumeAfter    *Rank                  // where the last round stopped
	reservedQuota  map[string]quotaAmount // by job: of assignments under way
	startedAt      time.Time
	clock          func() time.Time     // what a round's time is taken by
	budget         time.Duration        // of a round
	limited        bool                 // the last job was kept waiting by its team's limit
	limitedAt      map[string]time.Time // by team: when its limit last kept a job waiting
}

// Commit is a changed record to be written.
type Commit struct {
	JobID string
	Txn   wire.Txn
	// Urgent: users count the seconds until the job begins.
	Urgent bool
}

// New makes the core at the moment when the feed showed the claim.
func New(set *settings.Settings, termVersion uint64, now time.Time, jobs map[string]*records.Job, versions map[string]uint64) *Core {
	c := &Core{settings: set, sizes: set.RecordSizeLimits(), order: NewJobOrder(set.Deployment.Objectives), termVersion: termVersion, startedAt: now, clock: time.Now, budget: set.RoundBudget(), shards: map[string]*shardState{}, jobs: map[string]*jobState{}, waiting: map[string]*jobState{}, usedQuota: map[string]quotaAmount{}, reservedQuota: map[string]quotaAmount{}, limitedAt: map[string]time.Time{}}
	for _, z := range set.Deployment.Zones {
		c.shards[z] = &shardState{}
	}
	for id, rec := range jobs {
		c.ApplyJob(now, id, rec, versions[id])
	}
	return c
}

// SetRoundClock has a round's time taken by another clock than the machine's, which
// a busy machine would make run differently every time.
func (c *Core) SetRoundClock(clock func() time.Time) { c.clock = clock }

// SetAuthority says until when the leader may assign.
func (c *Core) SetAuthority(until time.Time) { c.authorityUntil = until }

// EnablePacking says that no process of the version before can come any more.
func (c *Core) EnablePacking() { c.sizes.Packing = true }

// ApplyAggregate takes in a shard's aggregate.
func (c *Core) ApplyAggregate(now time.Time, a Aggregate) {
	p := c.shards[a.Shard]
	if p == nil || a.Term < p.aggregate.Term {
		return
	}
	p.aggregate, p.updatedAt = a, now
	kept := p.reservations[:0]
	for _, b := range p.reservations {
		if b.revision == 0 || b.revision > a.Revision {
			kept = append(kept, b)
		}
	}
	p.reservations = kept
}

// ApplyJob takes in a record from the feed. A job counts until it is over and
// all its assignments are closed: until then its tasks may be somewhere.
func (c *Core) ApplyJob(now time.Time, id string, rec *records.Job, version uint64) {
	over := rec.End != "" && rec.AllAssignmentsClosed()
	j := c.jobs[id]
	if over {
		if j != nil {
			c.setOpenQuota(j, quotaAmount{})
			c.setReservedQuota(id, j.record.Spec.Team, quotaAmount{})
		}
		delete(c.jobs, id)
		delete(c.waiting, id)
		return
	}
	if j == nil {
		j = &jobState{}
		c.jobs[id] = j
	}
	if version <= j.version {
		return
	}
	// Whatever was under way was based on an older record and has been written
	// by now or can only fail: the newer record says what a team uses.
	j.isInFlight = false
	c.setReservedQuota(id, rec.Spec.Team, quotaAmount{})
	waits := rec.End == "" && len(rec.Unassigned()) > 0
	if j.record != nil && waits && !j.hasUnassigned {
		// Sent back: other shards are asked, a little later each time.
		j.reassignments++
		j.retryAt = now.Add(time.Duration(min(j.reassignments-1, 8)) * 500 * time.Millisecond)
	}
	j.record, j.version, j.hasUnassigned = rec, version, waits
	if waits {
		c.waiting[id] = j
	} else {
		delete(c.waiting, id)
	}
	n := 0
	for _, ch := range rec.Assignments {
		if !ch.Closed {
			n += ch.Tasks()
		}
	}
	c.setOpenQuota(j, quotaOf(&rec.Spec, n))
}

// Step assigns what waits, within a budget of time.
func (c *Core) Step(now time.Time) []Commit {
	if !now.Before(c.authorityUntil) {
		return nil
	}
	q := make([]*jobState, 0, len(c.waiting))
	for _, j := range c.waiting {
		if !j.isInFlight && !now.Before(j.retryAt) && c.hasInFlightSlot(j) {
			q = append(q, j)
			j.rank = c.order.Rank(now, j.record, c.tasksWithinGuarantee(&j.record.Spec) > 0, len(j.record.Assignments) > 0)
		}
	}
	slices.SortFunc(q, func(a, b *jobState) int { return a.rank.Compare(b.rank) })
	began := c.clock()
	start := 0
	if c.resumeAfter != nil {
		// Whatever came or went in between: after the job where it stopped.
		start = sort.Search(len(q), func(i int) bool { return c.resumeAfter.Before(q[i].rank) })
		c.resumeAfter = nil
	}
	var out []Commit
	held := map[string]bool{} // teams whose room is being collected
	for i := start; i < len(q); i++ {
		if held[q[i].record.Spec.Team] {
			continue
		}
		if !c.hasInFlightSlot(q[i]) {
			continue
		}
		if cm, ok := c.assign(now, q[i]); ok {
			out = append(out, cm)
		} else if c.limited {
			c.limitedAt[q[i].record.Spec.Team] = now
			if c.blocksTeam(now, q[i].record) {
				held[q[i].record.Spec.Team] = true
			}
		}
		if i+1 < len(q) && c.clock().Sub(began) > c.budget {
			p := q[i].rank
			c.resumeAfter = &p
			break
		}
	}
	return out
}

// hasInFlightSlot says whether one more assignment of a job's kind may be under way: those
// that come first go first once some have been written. The urgent are few at once:
// each is repeated until it is written, and hundreds at a cold start took the state
// service's requests from everything else.
func (c *Core) hasInFlightSlot(j *jobState) bool {
	if j.record.Spec.AllOrNothing() {
		return c.urgentInFlight < constants.MaxUrgentInFlight
	}
	return c.inFlight < constants.MaxAssignmentsInFlight
}

// blocksTeam says whether a job that its team's limit keeps waiting holds back
// the team's others, so that room comes together for it: a large service is
// admitted whole, and small ones would take every bit that falls free. It does
// so for a while only, since services may never make room.
func (c *Core) blocksTeam(now time.Time, rec *records.Job) bool {
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	return IsOverdue(now, rec, len(rec.Assignments) > 0) && age < constants.OverdueAfter+constants.CapacityHoldTime
}

// ApplyCommitResult takes in what came of a commit; revision is 0 when it failed.
func (c *Core) ApplyCommitResult(now time.Time, id string, urgent bool, revision uint64) {
	if urgent {
		c.urgentInFlight--
	} else {
		c.inFlight--
	}
	for _, p := range c.shards {
		kept := p.reservations[:0]
		for _, b := range p.reservations {
			if b.job == id && b.revision == 0 {
				if revision == 0 || revision <= p.aggregate.Revision {
					continue
				}
				b.revision = revision
			}
			kept = append(kept, b)
		}
		p.reservations = kept
	}
	j := c.jobs[id]
	if revision != 0 || j == nil {
		return
	}
	// Not known to have been written: if the feed brings a newer record, it
	// decides; if not, the same is tried again. The reservation stays until
	// then, since a late transaction may still be applied.
	j.isInFlight = false
	j.retryAt = now.Add(constants.LeaderTick)
}
