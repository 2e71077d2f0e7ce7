package shard

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"ravenport/constants"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/wire"
)

// Config is what the owner needs to know of the deployment.
type Config struct {
	Shard             string
	HeartbeatPeriod   time.Duration // workers' report period
	LeaseEnd          time.Duration // after the last answer that could count, a worker's lease has surely ended
	LeaseExtension    time.Duration // how long an owner answers reports after the end of its authority
	IdleSpot          time.Duration
	IdleOnDemand      time.Duration
	UseSpot           bool
	CloseFirst        bool // a machine is durably closed before it is returned
	ListLag           time.Duration
	CloudGap          time.Duration      // between calls of one kind to the cloud that can wait for each other
	SizeLimits        records.SizeLimits // the state service's limits on a record
	MaxDirectCommands int                // direct commands that may be under way at once
	GangWait          time.Duration      // how long a gang's tasks wait for each other
	GangPeer          time.Duration      // within which they notice that one is gone, or must all be told to stop
	TxnOps            int                // and on the changes of a transaction
	WriteRPS          float64            // and on changes a second, of all controllers
	Order             leader.JobOrder
	RoundBudget       time.Duration // of a round of placing; 0: the usual one
}

// Core is one shard's owner in one term: what holds for the whole term, and the states
// that a step asks in turn. A method of a state's own type changes nothing but that state;
// Core's methods bring several together.
type Core struct {
	stepped   time.Time // when the last step was made
	slowSteps pace      // looks at the whole fleet

	fleetView
	outgoing
	placement
	closings
	pageBook
	capacity
	gangReserves
	consolidation
	figures
	draining *draining // nil: drains and disruption budgets are off
}

// fleetView is what places are looked for with: whose shard it is, what is known of its
// machines and tasks, and which machines are heard.
type fleetView struct {
	ownership
	knowledge
	hearing
}

// ownership is whose shard it is: the deployment, the owner's term, and until when the
// owner may act under it.
type ownership struct {
	cfg       Config
	term      uint64
	termVer   uint64
	claimed   time.Time
	authority time.Time // may act until then
	deposed   bool
	numbers   numbers
}

type rental struct {
	req wire.ScaleOutRequest
	at  time.Time
}

// given is work that a record brought.
type given struct {
	version uint64
	spot    bool
	cpus    float64
}

// coming is the room of a machine that is not up yet.
type coming struct {
	free resources
	typ  string
	spot bool
}

// New makes the core at the moment when the feed showed the claim: jobs and
// inventory are as of that revision.
func New(cfg Config, term, termVersion uint64, now time.Time, types []wire.MachineType,
	jobs map[string]*records.Job, versions map[string]uint64, inventory map[string]*records.Page, inventoryVersions map[string]uint64) *Core {
	c := &Core{
		fleetView: fleetView{
			ownership: ownership{cfg: cfg, term: term, numbers: newNumbers(term), termVer: termVersion, claimed: now},
			knowledge: newKnowledge(),
			hearing:   hearing{period: cfg.HeartbeatPeriod, leaseLasts: cfg.LeaseEnd, began: now, gone: map[string]time.Time{}},
		},
		placement: newPlacement(cfg.RoundBudget), closings: closings{toClose: map[string]*job{}}, pageBook: newPageBook(cfg.SizeLimits),
		capacity:     capacity{pendingRents: map[string]*rental{}, refused: map[bool]time.Time{}},
		gangReserves: gangReserves{shapes: map[string]gangShape{}}, figures: figures{others: map[string]other{}, pushDirty: true},
	}
	c.SetTypes(types)
	// Pages split off a large one have higher numbers: a machine found on both
	// stays on its new page.
	keys := slices.Collect(maps.Keys(inventory))
	slices.SortFunc(keys, func(a, b string) int { return inventory[b].Number - inventory[a].Number })
	for _, key := range keys {
		c.applyPage(now, inventory[key], inventoryVersions[key])
	}
	for _, m := range c.machines {
		// Whatever earlier owners started, or sent and is still on its way, is
		// bounded by the lease counted from here: they had lost their authority
		// when the claim succeeded.
		m.inherited = m.inventoryAddr != ""
		m.leaseUntil = c.leaseEnd(now, m)
	}
	for id, rec := range jobs {
		c.applyJob(now, id, rec, versions[id], true)
	}
	c.checkRebuilt(now)
	return c
}

// SetTypes takes in the cloud's machine types.
func (c *Core) SetTypes(types []wire.MachineType) {
	for i := range types {
		t := types[i]
		c.types[t.Name] = &t
	}
	for _, m := range c.machines {
		c.size(m)
	}
	c.dirty = true
}

func (k *knowledge) size(m *machine) {
	if t := k.types[m.typeName]; t != nil {
		m.typ = t
		m.capacity = sizeOf(t)
	}
}

// SetRoundClock has a round's time taken by another clock than the machine's, which
// a busy machine would make run differently every time.
func (p *placement) SetRoundClock(clock func() time.Time) { p.clock = clock }

// SetAuthority says until when the owner may answer workers and start tasks.
func (o *ownership) SetAuthority(until time.Time) { o.authority = until }

func (o *ownership) may(now time.Time) bool {
	return !o.deposed && !o.numbers.out() && now.Before(o.authority)
}

// extendsLeases says whether the owner still answers reports though its authority has
// ended, whether or not another one is known to have begun: a zone that is cut off
// has nobody else, and its machines would end what they run. It gives no commands
// then, and does not keep a machine that has seen a later token.
func (o *ownership) extendsLeases(now time.Time) bool {
	extension := time.Duration(float64(o.cfg.LeaseExtension)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	return !o.authority.IsZero() && now.Before(o.authority.Add(extension))
}

// leaseEnd is when the lease of a machine has surely ended that is answered now.
// Until it shows a token of this term the owner before may be lease extension it.
func (o *ownership) leaseEnd(now time.Time, m *machine) time.Time {
	extendedUntil := o.claimed.Add(time.Duration(float64(o.cfg.LeaseExtension)*(1+constants.MaxClockDrift)) + constants.AuthorityMargin)
	if !m.verified(o.term) && extendedUntil.After(now) {
		now = extendedUntil
	}
	return now.Add(o.cfg.LeaseEnd)
}

// token is what the owner's answers and commands to a machine carry: its term,
// and below it a count of its own for the machine, which makes what it sent
// there before harmless without a new term.
func (o *ownership) token(m *machine) uint64 { return o.term<<constants.EpochBits | m.epoch }

func (k *knowledge) machine(name string) *machine {
	m := k.machines[name]
	if m == nil {
		m = &machine{name: name, page: pageless, images: map[string]bool{}, stale: true}
		k.machines[name] = m
		k.fleet = append(k.fleet, m)
	}
	return m
}

func (v *fleetView) removeMachine(q *outgoing, m *machine) {
	delete(v.machines, m.name)
	q.landed(m)
	m.wantCommand = false // its place in the queue goes with the next step
	for i, o := range v.fleet {
		if o == m {
			v.fleet = append(v.fleet[:i], v.fleet[i+1:]...)
			break
		}
	}
}

// Apply takes in a change from the feed.
func (c *Core) Apply(now time.Time, ch records.Change) {
	if c.draining != nil {
		c.draining.apply(now, c.cfg.Shard, ch)
	}
	switch r := ch.Record.(type) {
	case *records.Job:
		c.applyJob(now, r.ID, r, ch.Version, false)
	case *records.Page:
		if r.Shard == c.cfg.Shard {
			c.applyPage(now, r, ch.Version)
		}
	}
}

// checkRebuilt ends the rebuild once every inherited machine has shown all
// that is on it or has surely lost it.
func (c *Core) checkRebuilt(now time.Time) {
	if c.rebuilt {
		return
	}
	for _, m := range c.fleet {
		if m.inherited && !m.verified(c.term) {
			return
		}
	}
	c.rebuilt = true
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			t.uncertain = false
		}
		c.touch(j)
		c.check(j)
	}
	c.dirty = true
	slog.Info("shard rebuilt", "shard", c.cfg.Shard, "term", c.term, "after_ms", now.Sub(c.claimed).Milliseconds(), "machines", len(c.machines))
}

// Step does what is due and returns the actions gathered since the last call.
func (c *Core) Step(now time.Time) []Action {
	if !c.stepped.IsZero() && now.Sub(c.stepped) > constants.StoodStill {
		slog.Warn("stood still", "shard", c.cfg.Shard, "for_ms", now.Sub(c.stepped).Milliseconds())
		c.rest(now)
	}
	c.stepped = now
	slow := c.slowSteps.due(now, constants.SlowStep)
	if slow {
		c.lapse(now)
		c.keepForGangs(now)
	}
	if c.may(now) {
		c.inventory(now)
		if c.dirty || now.Sub(c.lastPlace) > constants.PlaceEvery {
			c.place(now)
		}
		if c.resume == nil && c.rentals.due(now, constants.RentGap) {
			c.rent(now)
		}
		if slow {
			c.letGo(&c.fleetView, now)
			c.leaveNoticed(&c.fleetView, now)
			c.consolidate(now)
		}
		c.drain(now)
		if c.censuses.due(now, constants.CensusEvery) {
			c.giveBack(now)
		}
		c.closeAssignments(now)
		c.direct(&c.fleetView, now, slow)
	}
	out := c.actions
	c.actions = nil
	return out
}

// commit gathers a transaction that holds only while the term stands.
func (q *outgoing) commit(v *fleetView, id string, changes []wire.Change, conds ...wire.Condition) {
	q.actions = append(q.actions, Commit{ID: id, Txn: wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.KeyShard(v.cfg.Shard), Version: v.termVer}}, conds...),
		Changes:    changes,
	}})
}

// EnablePacking says that no process of the version before can come any more.
func (o *ownership) EnablePacking() { o.cfg.SizeLimits.Packing = true }

// CommitInvalid takes note that the state service found fault with a write: smaller
// ones follow.
func (c *Core) CommitInvalid(id string) {
	switch kind, _, _ := strings.Cut(id, "/"); kind {
	case "roster":
	case commitClaim, commitDrain:
		return // nothing of them can be made smaller
	default:
		c.EnablePacking()
		return
	}
	c.cfg.TxnOps = 1
	largest := 0
	for _, p := range c.pages {
		if p.sent != nil {
			largest = max(largest, p.bytes)
		}
	}
	// Pages are of 90% of a value at most, so nine tenths of it are a smaller one.
	c.cfg.SizeLimits.Next = max(constants.LeastValue, min(c.cfg.SizeLimits.Next, largest)*constants.PageFill/100)
	c.limit(c.cfg.SizeLimits)
	for _, p := range c.pages {
		c.split(&c.fleetView, p)
	}
}

// CommitResult takes in what came of a transaction. A conflict needs nothing: the
// feed brings the change that caused it.
func (c *Core) CommitResult(now time.Time, id string, revision uint64) {
	kind, rest, _ := strings.Cut(id, "/")
	switch kind {
	case "roster":
		c.inventoryWritten(now, revision)
	case "job":
		if j := c.jobs[rest]; j != nil && revision == 0 {
			// Either the feed will bring a newer version, or the write is
			// tried again.
			j.writing = false
			j.retryAt = now.Add(constants.RetryMax)
			c.check(j)
		}
	default:
		c.draining.drainCommitted(now, kind, rest, revision)
	}
}
