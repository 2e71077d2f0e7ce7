// Package leader decides which shard takes which tasks. It is pure: the shards'
// aggregates, records and time in, changed records out.
package leader

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"ravenport/constants"
	"ravenport/settings"
	"ravenport/state"
	"ravenport/wire"
)

// Room is the free room of one kind of machines of a shard, as the paper's
// aggregates: sum, mean and standard deviation over the machines.
type Room struct {
	Machines int     `json:"n"`
	CPUs     Moments `json:"c"`
	GPUs     Moments `json:"g"`
	Memory   Moments `json:"m"`
}

// Moments are the aggregate of one resource.
type Moments struct {
	Sum  float64 `json:"s"`
	Mean float64 `json:"e"`
	Dev  float64 `json:"d"`
}

// Add counts one machine's free amount; Finish must follow the last.
func (m *Moments) Add(v float64) { m.Sum += v; m.Dev += v * v }

// Finish turns sums into mean and standard deviation over n machines.
func (m *Moments) Finish(n int) {
	if n == 0 {
		return
	}
	m.Mean = m.Sum / float64(n)
	m.Dev = math.Sqrt(max(0, m.Dev/float64(n)-m.Mean*m.Mean))
}

// Aggregate is what an owner pushes.
type Aggregate struct {
	Shard    string  `json:"part"`
	Term     uint64  `json:"term"`
	Revision uint64  `json:"rev"` // the records that the figures reflect
	Ordinary Room    `json:"ord"` // coming machines included
	Spot     Room    `json:"spot"`
	Waiting  float64 `json:"wait"` // CPUs that wait though no room for them is coming
	// Rentable says whether the shard may still get machines of the kind.
	RentOrdinary bool `json:"ro"`
	RentSpot     bool `json:"rs"`
	// Yielding is ordinary room (CPUs) held by work that production work may
	// stop.
	Yielding float64 `json:"y"`
	// Capacity is all of the machines that take tasks or are coming (CPUs).
	Capacity float64 `json:"cap"`
	// Warm is, by image, ordinary room (CPUs), yielding room included, on
	// machines that hold the image already.
	Warm map[string]float64 `json:"w,omitempty"`
	// Gangs is, by shape, how many tasks of a gang could start now.
	Gangs map[string]GangRoom `json:"gangs,omitempty"`
	// GangsKept is the room (CPUs) kept ready for gangs.
	GangsKept float64 `json:"gk,omitempty"`
}

// fits estimates how many tasks of the given size the room takes. The sum
// alone hides that no single machine may have room: tasks per machine are
// counted at two deviations above the mean.
func (r Room) fits(s *wire.Submission) int {
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
		if x.m.Mean+2*x.m.Dev+1e-6 < x.need && x.m.Sum < x.need {
			return 0
		}
		n = min(n, int(x.m.Sum/x.need+1e-6))
	}
	return n
}

// Takes estimates how many tasks of a job a shard has room for.
func (a *Aggregate) Takes(s *wire.Submission) int {
	n := a.Ordinary.fits(s)
	if s.Spot {
		n += a.Spot.fits(s)
	}
	if s.Priority == wire.PriorityProduction && s.CPUs > 0 {
		n += int(a.Yielding / s.CPUs)
	}
	return n
}

// booking is an assignment that a shard's figures do not show yet.
type booking struct {
	revision        uint64 // 0: under way
	cpus, gpus, mem float64
	spot, gang      bool
	job             string
}

type shardState struct {
	agg      Aggregate
	at       time.Time
	bookings []booking
}

type jobState struct {
	rec     *state.Job
	version uint64
	busy    bool
	tries   int
	notAt   time.Time
	waits   bool       // tasks of it are in no assignment
	open    [2]float64 // CPUs and GPUs of its open assignments
	place   Place      // in the order of the last look at all that wait
}

// Core is the leader in one term.
type Core struct {
	set       *settings.Settings
	order     Order
	sizes     state.Sizes
	termVer   uint64
	shards    map[string]*shardState
	jobs      map[string]*jobState  // all that are not over
	waiting   map[string]*jobState  // those with tasks in no assignment
	use       map[string][2]float64 // by team: CPUs and GPUs of open assignments and of assignments under way
	flying    int                   // assignments under way, but for the urgent
	urgent    int
	authority time.Time
	resume    *Place                // where the last round stopped
	reserved  map[string][2]float64 // by job: CPUs and GPUs of assignments under way
	began     time.Time
	clock     func() time.Time     // what a round's time is taken by
	budget    time.Duration        // of a round
	limited   bool                 // the last job was kept waiting by its team's limit
	heldAt    map[string]time.Time // by team: when its limit last kept a job waiting
}

// Commit is a changed record to be written.
type Commit struct {
	ID  string
	Txn wire.Txn
	// Urgent: users count the seconds until the job begins.
	Urgent bool
}

// New makes the core at the moment when the feed showed the claim.
func New(set *settings.Settings, termVersion uint64, now time.Time, jobs map[string]*state.Job, versions map[string]uint64) *Core {
	c := &Core{set: set, sizes: set.Sizes(), order: NewOrder(set.Params.Objectives), termVer: termVersion, began: now, clock: time.Now, budget: set.RoundBudget(), shards: map[string]*shardState{}, jobs: map[string]*jobState{}, waiting: map[string]*jobState{}, use: map[string][2]float64{}, reserved: map[string][2]float64{}, heldAt: map[string]time.Time{}}
	for _, z := range set.Params.Zones {
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
func (c *Core) SetAuthority(until time.Time) { c.authority = until }

// SetPacks says that no process of the version before can come any more.
func (c *Core) SetPacks() { c.sizes.Packs = true }

// Pushed takes in a shard's aggregate.
func (c *Core) Pushed(now time.Time, a Aggregate) {
	p := c.shards[a.Shard]
	if p == nil || a.Term < p.agg.Term {
		return
	}
	p.agg, p.at = a, now
	kept := p.bookings[:0]
	for _, b := range p.bookings {
		if b.revision == 0 || b.revision > a.Revision {
			kept = append(kept, b)
		}
	}
	p.bookings = kept
}

// ApplyJob takes in a record from the feed. A job counts until it is over and
// all its assignments are closed: until then its tasks may be somewhere.
func (c *Core) ApplyJob(now time.Time, id string, rec *state.Job, version uint64) {
	over := rec.End != "" && rec.AllOver()
	j := c.jobs[id]
	if over {
		if j != nil {
			c.count(j, [2]float64{})
			c.reserve(id, j.rec.Spec.Team, [2]float64{})
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
	j.busy = false
	c.reserve(id, rec.Spec.Team, [2]float64{})
	waits := rec.End == "" && len(rec.Unassigned()) > 0
	if j.rec != nil && waits && !j.waits {
		// Sent back: other shards are asked, a little later each time.
		j.tries++
		j.notAt = now.Add(time.Duration(min(j.tries-1, 8)) * 500 * time.Millisecond)
	}
	j.rec, j.version, j.waits = rec, version, waits
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
	c.count(j, [2]float64{float64(n) * rec.Spec.CPUs, float64(n) * rec.Spec.GPUs})
}

// count keeps the sum of what a team's open assignments may take. Only durable
// evidence frees room: an assignment counts until it is closed.
func (c *Core) count(j *jobState, open [2]float64) {
	c.add(j.rec.Spec.Team, j.open, open)
	j.open = open
}

// reserve notes what an assignment under way may take.
func (c *Core) reserve(id, team string, r [2]float64) {
	c.add(team, c.reserved[id], r)
	if r == ([2]float64{}) {
		delete(c.reserved, id)
	} else {
		c.reserved[id] = r
	}
}

func (c *Core) add(team string, was, is [2]float64) {
	u := c.use[team]
	c.use[team] = [2]float64{u[0] - was[0] + is[0], u[1] - was[1] + is[1]}
}

// teamUse is what a team's open assignments may take, assignments of jobs other
// than one under way included.
func (c *Core) teamUse(team, except string) (cpus, gpus float64) {
	u, r := c.use[team], c.reserved[except]
	return u[0] - r[0], u[1] - r[1]
}

// admit says how many of n more tasks a team's limit allows.
func (c *Core) admit(s *wire.Submission, n int) int {
	t := c.set.Team(s.Team)
	if t == nil || t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return n
	}
	cpus, gpus := c.teamUse(s.Team, s.ID)
	if t.CPUsMax > 0 {
		n = within(n, t.CPUsMax-cpus, s.CPUs)
	}
	if t.GPUsMax > 0 {
		n = within(n, t.GPUsMax-gpus, s.GPUs)
	}
	return max(n, 0)
}

// within is how many of n tasks fit what is left of one resource.
func within(n int, left, each float64) int {
	if each <= 0 {
		return n
	}
	return min(n, int(left/each+1e-6))
}

// guaranteed is how many more tasks of a job fit its team's guarantee beside
// the team's other open work.
func (c *Core) guaranteed(s *wire.Submission) int {
	t := c.set.Team(s.Team)
	if t == nil || t.CPUs <= 0 && t.GPUs <= 0 {
		return 0
	}
	cpus, gpus := c.teamUse(s.Team, s.ID)
	return max(within(within(s.Tasks, t.CPUs-cpus, s.CPUs), t.GPUs-gpus, s.GPUs), 0)
}

// Step assigns what waits, within a budget of time.
func (c *Core) Step(now time.Time) []Commit {
	if !now.Before(c.authority) {
		return nil
	}
	q := make([]*jobState, 0, len(c.waiting))
	for _, j := range c.waiting {
		if !j.busy && !now.Before(j.notAt) && c.mayFly(j) {
			q = append(q, j)
			j.place = c.order.Place(now, j.rec, c.guaranteed(&j.rec.Spec) > 0, len(j.rec.Assignments) > 0)
		}
	}
	slices.SortFunc(q, func(a, b *jobState) int { return a.place.Compare(b.place) })
	began := c.clock()
	start := 0
	if c.resume != nil {
		// Whatever came or went in between: after the job where it stopped.
		start = sort.Search(len(q), func(i int) bool { return c.resume.Before(q[i].place) })
		c.resume = nil
	}
	var out []Commit
	held := map[string]bool{} // teams whose room is being collected
	for i := start; i < len(q); i++ {
		if held[q[i].rec.Spec.Team] {
			continue
		}
		if !c.mayFly(q[i]) {
			continue
		}
		if cm, ok := c.assign(now, q[i]); ok {
			out = append(out, cm)
		} else if c.limited {
			c.heldAt[q[i].rec.Spec.Team] = now
			if c.collects(now, q[i].rec) {
				held[q[i].rec.Spec.Team] = true
			}
		}
		if i+1 < len(q) && c.clock().Sub(began) > c.budget {
			p := q[i].place
			c.resume = &p
			break
		}
	}
	return out
}

// mayFly says whether one more assignment of a job's kind may be under way: those
// that come first go first once some have been written. The urgent are few at once:
// each is repeated until it is written, and hundreds at a cold start took the state
// service's requests from everything else.
func (c *Core) mayFly(j *jobState) bool {
	if j.rec.Spec.Whole() {
		return c.urgent < constants.MaxUrgent
	}
	return c.flying < constants.MaxAssignments
}

// collects says whether a job that its team's limit keeps waiting holds back
// the team's others, so that room comes together for it: a large service is
// admitted whole, and small ones would take every bit that falls free. It does
// so for a while only, since services may never make room.
func (c *Core) collects(now time.Time, rec *state.Job) bool {
	age := time.Duration(now.UnixMilli()-rec.AcceptedMS) * time.Millisecond
	return Overdue(now, rec, len(rec.Assignments) > 0) && age < constants.BeginWithin+constants.CollectFor
}

// assign decides on a job's unassigned tasks.
func (c *Core) assign(now time.Time, j *jobState) (Commit, bool) {
	c.limited = false
	s := &j.rec.Spec
	rec := j.rec.Clone()
	if s.IsGang() && closeRest(rec) {
		j.busy = true
		c.urgent++
		value, _ := c.sizes.Encode(rec, j.rec)
		return c.commit(rec.ID, j.version, value, true), true
	}
	want := 0
	ranges := rec.Unassigned()
	for _, r := range ranges {
		want += r[1] - r[0]
	}
	n := c.admit(s, want)
	if s.Whole() && n < want || n == 0 {
		c.limited = true
		return Commit{}, false
	}
	if !s.Whole() && Overdue(now, j.rec, len(j.rec.Assignments) > 0) {
		n = min(n, BeginShare(want))
	}
	guaranteed := c.guaranteed(s)
	var plan []share
	if s.IsGang() {
		plan = c.planGang(now, j)
		if guaranteed < want {
			guaranteed = 0 // as a whole or not
		}
	} else {
		plan = c.plan(now, j, n)
	}
	type booked struct {
		shard string
		n     int
	}
	var books []booked
	given := 0
	for _, p := range plan {
		left := p.n
		for left > 0 && len(ranges) > 0 {
			r := &ranges[0]
			k := min(left, r[1]-r[0])
			if guaranteed > given {
				k = min(k, guaranteed-given)
			}
			rec.Assignments = append(rec.Assignments, state.Assignment{From: r[0], To: r[0] + k, Shard: p.shard, Keep: p.keep, Guaranteed: given < guaranteed})
			r[0] += k
			left -= k
			given += k
			if r[0] == r[1] {
				ranges = ranges[1:]
			}
		}
		books = append(books, booked{p.shard, p.n - left})
	}
	if given == 0 {
		j.notAt = now.Add(constants.LeaderTick)
		return Commit{}, false
	}
	if given < want {
		j.notAt = now.Add(constants.PartialGap)
	}
	rec.Normalize()
	if s.IsGang() {
		numberGang(rec)
	}
	value, ok := c.sizes.Grows(rec, j.rec)
	if !ok {
		// A job in too many pieces would outgrow a value of the state service.
		// A piece that joins its neighbour takes no room: so it is never put
		// off for ever.
		if rec = c.join(j, n); rec == nil {
			j.notAt = now.Add(constants.RetryMax)
			return Commit{}, false
		}
		value, _ = c.sizes.Encode(rec, j.rec)
		books, given = nil, n
	}
	for _, b := range books {
		p := c.shards[b.shard]
		p.bookings = append(p.bookings, booking{job: rec.ID, spot: s.Spot, gang: s.IsGang(),
			cpus: float64(b.n) * s.CPUs, gpus: float64(b.n) * s.GPUs, mem: float64(b.n) * s.MemoryGB})
	}
	j.busy = true
	if s.Whole() {
		c.urgent++
	} else {
		c.flying++
	}
	// An earlier assignment without an answer may still be applied instead of
	// this one, so the larger of the two counts.
	r := c.reserved[rec.ID]
	c.reserve(rec.ID, s.Team, [2]float64{max(r[0], float64(given)*s.CPUs), max(r[1], float64(given)*s.GPUs)})
	slog.Debug("assigning", "job", rec.ID, "plan", fmt.Sprint(plan))
	return c.commit(rec.ID, j.version, value, s.Whole()), true
}

// commit is a write of a job's record that holds only while the term stands.
func (c *Core) commit(id string, version uint64, value []byte, urgent bool) Commit {
	return Commit{ID: id, Urgent: urgent, Txn: wire.Txn{
		If:   []wire.Condition{{Key: state.KeyLeader, Version: c.termVer}, {Key: state.KeyJob(id), Version: version}},
		Then: []wire.Change{{Put: state.KeyJob(id), Value: value}},
	}}
}

// join gives a job's first unassigned range, up to n tasks of it, to the shard
// that has the open assignment next to it, as part of that assignment; nil if it may not.
func (c *Core) join(j *jobState, n int) *state.Job {
	caps := c.caps(j)
	for _, r := range j.rec.Unassigned() {
		for i, ch := range j.rec.Assignments {
			if ch.Closed || ch.To != r[0] && ch.From != r[1] {
				continue
			}
			k := min(n, r[1]-r[0], caps[ch.Shard])
			if k <= 0 {
				continue
			}
			rec := j.rec.Clone()
			if ch.To == r[0] {
				rec.Assignments[i].To += k
			} else {
				rec.Assignments[i].From -= k
			}
			rec.Normalize()
			if _, ok := c.sizes.Encode(rec, j.rec); ok { // it takes hardly more than before
				return rec
			}
		}
	}
	return nil
}

// Forecast is what will be assigned to a shard before long: work that waits for
// the state service's allowance rather than for a decision.
type Forecast struct {
	Revision uint64  `json:"rev"`  // assignments written later are part of it
	Spot     float64 `json:"spot"` // CPUs that may go to spot machines
	Ordinary float64 `json:"ord"`  // CPUs that may not
	// Held names teams whose limit keeps jobs waiting: what of theirs is done is
	// recorded without waiting for the rest of its assignment.
	Held []string `json:"held,omitempty"`
}

// Forecast tells each shard its share of what is in no assignment yet, so that it can
// rent for it meanwhile. revision is that of the records known.
func (c *Core) Forecast(now time.Time, revision uint64) map[string]Forecast {
	var spot, ordinary float64
	by := map[string][2]float64{} // by zone, for jobs that may run in one alone
	for _, j := range c.waiting {
		s := &j.rec.Spec
		if now.UnixMilli()-j.rec.AcceptedMS < constants.ForecastAfter.Milliseconds() {
			continue // its turn comes at once, and its owner may see no need to rent
		}
		n := 0
		for _, r := range j.rec.Unassigned() {
			n += r[1] - r[0]
		}
		n = c.admit(s, n)
		cpus := float64(n) * s.CPUs
		switch {
		case s.Zone != "":
			z := by[s.Zone]
			if s.Spot {
				z[0] += cpus
			} else {
				z[1] += cpus
			}
			by[s.Zone] = z
		case s.Spot:
			spot += cpus
		default:
			ordinary += cpus
		}
	}
	var held []string
	for team, at := range c.heldAt {
		if now.Sub(at) < constants.ForecastLife {
			held = append(held, team)
		} else {
			delete(c.heldAt, team)
		}
	}
	if spot+ordinary == 0 && len(by) == 0 && len(held) == 0 {
		return nil
	}
	out := map[string]Forecast{}
	shards := float64(len(c.shards))
	for z := range c.shards {
		out[z] = Forecast{Revision: revision, Spot: spot/shards + by[z][0], Ordinary: ordinary/shards + by[z][1], Held: held}
	}
	return out
}

// Committed takes in what came of a commit; revision is 0 when it failed.
func (c *Core) Committed(now time.Time, id string, urgent bool, revision uint64) {
	if urgent {
		c.urgent--
	} else {
		c.flying--
	}
	for _, p := range c.shards {
		kept := p.bookings[:0]
		for _, b := range p.bookings {
			if b.job == id && b.revision == 0 {
				if revision == 0 || revision <= p.agg.Revision {
					continue
				}
				b.revision = revision
			}
			kept = append(kept, b)
		}
		p.bookings = kept
	}
	j := c.jobs[id]
	if revision != 0 || j == nil {
		return
	}
	// Not known to have been written: if the feed brings a newer record, it
	// decides; if not, the same is tried again. The reservation stays until
	// then, since a late transaction may still be applied.
	j.busy = false
	j.notAt = now.Add(constants.LeaderTick)
}

// share is a number of tasks for a shard.
type share struct {
	shard string
	n     int
	keep  bool
}

// plan spreads n tasks over the shards in the order of the design: of the
// shards that take all, the one left with the least summed room; what does not
// fit goes on to the next. What fits nowhere is kept by the shard that waits
// least and can still rent.
func (c *Core) plan(now time.Time, j *jobState, n int) []share {
	s := &j.rec.Spec
	caps := c.caps(j)
	type cand struct {
		name        string
		fit, cap    int
		sum, queued float64
		rent, fresh bool
		size        float64 // CPUs of machines that are there, coming or will be rented
		deep        float64 // CPUs that may wait in the shard though no machine is coming
		warm        int     // production tasks that need not wait for their image
	}
	var cs []*cand
	for _, z := range c.set.Params.Zones {
		limit, ok := caps[z]
		if !ok || limit <= 0 {
			continue
		}
		p := c.shards[z]
		k := &cand{name: z, cap: limit, fresh: now.Sub(p.at) < constants.StaleAggregate}
		if k.fresh {
			a := p.agg
			k.queued = a.Waiting
			for _, b := range p.bookings {
				sub(&a.Ordinary, &a.Spot, b)
				k.queued += b.cpus
				k.size += b.cpus
			}
			k.size += a.Capacity + a.Waiting
			k.fit = a.Takes(s)
			k.sum = a.Ordinary.CPUs.Sum
			if s.Spot {
				k.sum += a.Spot.CPUs.Sum
			}
			k.deep = a.Capacity * constants.QueueShare
			if s.Priority == wire.PriorityProduction && s.CPUs > 0 {
				w := p.agg.Warm[s.Image]
				for _, b := range p.bookings {
					if !b.spot {
						w -= b.cpus
					}
				}
				k.warm = max(0, int(w/s.CPUs))
			}
			k.rent = p.agg.RentOrdinary || s.Spot && p.agg.RentSpot
		}
		k.fit = min(k.fit, limit)
		k.warm = min(k.warm, k.fit)
		cs = append(cs, k)
	}
	fresh := false
	for _, k := range cs {
		fresh = fresh || k.fresh
	}
	if len(cs) == 0 || !fresh && now.Sub(c.began) < constants.StaleAggregate {
		return nil // a new leader waits for the first figures
	}
	var out []share
	left := n
	need := s.CPUs * float64(n)
	// Ranked: shards that take everything by least room left after it, then
	// the others by what they take. Where production tasks find their image,
	// they start at once, so those shards come first.
	sort.SliceStable(cs, func(a, b int) bool {
		x, y := cs[a], cs[b]
		if x, y := min(x.warm, n), min(y.warm, n); x != y {
			return x > y
		}
		if (x.fit >= n) != (y.fit >= n) {
			return x.fit >= n
		}
		if x.fit >= n {
			return x.sum-need < y.sum-need
		}
		return x.fit > y.fit
	})
	for _, k := range cs {
		if s.OneZone && k.fit < left {
			continue
		}
		if t := min(k.fit, left); t > 0 {
			out = append(out, share{k.name, t, j.tries > 2})
			k.cap -= t
			left -= t
		}
	}
	if left == 0 {
		return out
	}
	// No room in sight: whoever can rent and is smallest, so that the shards grow
	// alike; else whoever has the shortest queue.
	sort.SliceStable(cs, func(a, b int) bool {
		x, y := cs[a], cs[b]
		if x.fresh != y.fresh {
			return x.fresh
		}
		if x.rent != y.rent {
			return x.rent
		}
		if x.rent {
			return x.size < y.size
		}
		return x.queued < y.queued
	})
	for _, k := range cs {
		if s.OneZone && k.cap < left || len(out) > 0 && s.OneZone {
			continue
		}
		// An owner is not given more than it could rent for in a while: what
		// waits with it costs it time in every round.
		t := min(k.cap, left, constants.MaxGiven, max(0, int((constants.MaxQueued-k.queued)/max(s.CPUs, 0.1))))
		if !k.rent && k.fresh && !s.IsService() {
			// No machine is to be had: the tasks wait here for the first room
			// of any shard. A few wait with the owner, so that what falls free
			// there is taken again at once.
			t = min(t, int((k.deep-k.queued)/max(s.CPUs, 0.1)))
		}
		if t > 0 {
			out = append(out, share{k.name, t, true})
			left -= t
		}
	}
	return out
}

func sub(ord, spot *Room, b booking) {
	r := ord
	if b.spot && spot.CPUs.Sum >= b.cpus {
		r = spot
	}
	r.CPUs.Sum -= b.cpus
	r.GPUs.Sum -= b.gpus
	r.Memory.Sum -= b.mem
}

// caps says how many more tasks of a job each allowed shard may take, by the
// job's zone rules, counting every task that may be running.
func (c *Core) caps(j *jobState) map[string]int {
	s := &j.rec.Spec
	held := map[string]int{}
	for _, ch := range j.rec.Assignments {
		if !ch.Closed {
			held[ch.Shard] += ch.Tasks()
		}
	}
	out := map[string]int{}
	for _, z := range c.set.Params.Zones {
		if s.Zone != "" && s.Zone != z {
			continue
		}
		limit := s.Tasks
		if s.Spread {
			limit = (s.Tasks + 1) / 2
		}
		if s.OneZone {
			for other, n := range held {
				if other != z && n > 0 {
					limit = 0
				}
			}
		}
		out[z] = limit - held[z]
	}
	return out
}
