package shard

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/records"
	"ravenport/wire"
)

// DrainingConfig is what an owner needs to know to drain machines.
type DrainingConfig struct {
	Shards  []string // all of the deployment, in its order
	Budgets disruption.Budgets
	Policy  drain.Policy
	// SkipClaimProof and SkipStableTime let a test see what the claims and the stable time are
	// worth: stops without a claim, and tasks that are up as soon as they run.
	SkipClaimProof, SkipStableTime bool
}

// draining is the owner's state of drains and of its shard's account of disruption.
type draining struct {
	cfg      DrainingConfig
	ledger   *disruption.Ledger
	drains   map[int]*drain.Steps   // those that are not over, by number
	damaged  map[int]bool           // drains whose record cannot be read
	moves    map[*task]*move        // tasks that were stopped and are not up again
	promised map[*machine]resources // room for those, as this step keeps it
	surge    []*task                // that may be moved and find no room
	headroom disruption.Counts      // how many more of those the budgets allow
	waits    map[int]string         // by drain: why it waits
	steps    pace                   // counts and goes on with drains
	looks    int                    // for machines with room, in this step
	turn     int                    // counts steps: each begins with another machine

	interruptions interruptions
	inherited     bool // those that earlier owners claimed are among them
}

// move is a service's task on its way to another machine.
type move struct {
	drain int
	to    *machine // that had room for it
	needs resources
	since time.Time
}

// cordon says that a machine takes no new task.
type cordon struct {
	drain int
	since time.Time
}

// StartDraining has the owner keep its shard's account and drain machines. jobs are
// the records of all jobs, and records the drains, claims and terms that are stored.
func (c *Core) StartDraining(now time.Time, cfg DrainingConfig, jobs map[string]*records.Job, records []records.Change) {
	c.draining = &draining{
		cfg: cfg, drains: map[int]*drain.Steps{}, damaged: map[int]bool{}, moves: map[*task]*move{}, waits: map[int]string{},
		interruptions: newInterruptions(cfg.Policy.ReplaceWithin),
		ledger:        disruption.NewLedger(disruption.Config{Shard: c.cfg.Shard, Shards: cfg.Shards, Term: c.term, Budgets: cfg.Budgets, Stable: cfg.Policy.Stable, SkipClaimProof: cfg.SkipClaimProof}),
	}
	for _, j := range jobs {
		c.draining.ledger.ApplyJob(now, j)
	}
	for _, ch := range records {
		c.draining.apply(now, c.cfg.Shard, ch)
	}
}

// apply takes in a change from the feed.
func (d *draining) apply(now time.Time, shard string, ch records.Change) {
	switch r := ch.Record.(type) {
	case *records.Job:
		d.ledger.ApplyJob(now, r)
	case *records.Term:
		d.ledger.ApplyTerm(r)
	case *records.DisruptionClaim:
		d.ledger.ApplyClaim(r, ch.Version)
	case *records.Drain:
		d.applyDrain(shard, r, ch.Version)
	case nil:
		if number, ok := (&records.Damaged{Key: ch.Key}).Drain(); ok {
			delete(d.drains, number) // an old one was cleared away
		}
	case *records.Damaged:
		if claimOf, ok := r.DisruptionClaim(); ok {
			d.ledger.ApplyDamagedClaim(claimOf, ch.Version)
		}
		if number, ok := r.Drain(); ok {
			d.damaged[number] = true
			delete(d.drains, number)
		}
	}
}

func (d *draining) applyDrain(shard string, r *records.Drain, version uint64) {
	delete(d.damaged, r.Number)
	steps := d.drains[r.Number]
	switch {
	case r.State.Over():
		delete(d.drains, r.Number)
		delete(d.waits, r.Number)
	case steps != nil:
		steps.Apply(r, version)
	default:
		d.drains[r.Number] = drain.NewSteps(d.cfg.Policy, shard, d.cfg.Shards, r, version)
	}
}

// numbers lists the drains that are not over, in order.
func (d *draining) numbers() []int {
	return slices.Sorted(maps.Keys(d.drains))
}

// active says whether any drain runs.
func (d *draining) active() bool {
	for _, s := range d.drains {
		if s.Record().State == records.DrainRunning {
			return true
		}
	}
	return false
}

// drain counts what is unavailable, goes on with all drains, and writes the shard's
// claim.
func (c *Core) drain(now time.Time) {
	d := c.draining
	if d == nil || !d.steps.due(now, constants.DrainEvery) {
		return
	}
	d.ledger.Observe(now, d.unavailable(&c.fleetView, now), c.rebuilt)
	d.surge, d.headroom, d.looks = d.surge[:0], disruption.Counts{}, 0
	d.turn++
	d.settleMoves(&c.fleetView, now)
	d.promised = d.roomPromised()
	c.liftCordons()
	for _, m := range c.fleet {
		m.leavesNext = false
	}
	if c.rebuilt && !c.isUnreachable {
		for _, number := range d.numbers() {
			c.advanceDrain(now, number, d.drains[number])
		}
	}
	if changes, conditions := d.ledger.Write(now, d.active()); changes != nil {
		c.commit(&c.fleetView, commitClaim+"/", changes, conditions...)
	}
}

// isUp says whether a task runs and has proved itself.
func (d *draining) isUp(v *fleetView, now time.Time, t *task) bool {
	h := t.hold
	if !v.runs(now, t) {
		return false
	}
	return h.adopted || d.cfg.SkipStableTime || now.Sub(h.runSince) >= d.cfg.Policy.Stable
}

// unavailable counts the shard's tasks of services that should be up and are not, and the
// arrays' tasks and gangs that were interrupted.
func (d *draining) unavailable(v *fleetView, now time.Time) disruption.Counts {
	down := d.lookAtInterruptions(v, now)
	for _, j := range v.jobs {
		if j.rec.End != "" || !j.rec.Spec.IsService() {
			continue
		}
		n := 0
		for _, t := range j.tasks {
			if !d.isUp(v, now, t) {
				n++
			}
		}
		if n > 0 {
			down.Add(d.budgetsOf(j), n)
		}
	}
	return down
}

// budgetsOf lists the budgets that a job's tasks count against.
func (d *draining) budgetsOf(j *job) []disruption.Key {
	return d.ledger.KeysOf(&j.rec.Spec)
}

// settleMoves looks which moved tasks are up again, and which never came up.
func (d *draining) settleMoves(v *fleetView, now time.Time) {
	for t, m := range d.moves {
		steps := d.drains[m.drain]
		switch {
		case v.jobs[t.job.rec.ID] != t.job || t.job.tasks[t.index] != t || t.job.rec.End != "":
			delete(d.moves, t) // it ended, or another shard looks after it
		case d.isUp(v, now, t):
			delete(d.moves, t)
		case now.Sub(m.since) > d.cfg.Policy.ReplaceWithin:
			delete(d.moves, t)
			if steps != nil {
				steps.Failed("a task of " + t.job.rec.ID + " was not up in time")
			}
		}
	}
}

// moveFailed notes that a moved task ended with an error before it was up.
func (d *draining) moveFailed(t *task, machine string) {
	if d == nil {
		return
	}
	if m := d.moves[t]; m != nil {
		if steps := d.drains[m.drain]; steps != nil {
			steps.Failed("a task of " + t.job.rec.ID + " failed on " + machine)
		}
	}
}

// bootFailed notes that a machine did not come up: while a drain runs, replacements may
// be among those.
func (d *draining) bootFailed(v *fleetView, m *machine) {
	if d == nil {
		return
	}
	for _, steps := range d.drains {
		if steps.Acts() && !drain.Matches(&steps.Record().Selection, v.selectable(m)) {
			steps.Failed(m.name + " did not come up")
		}
	}
}

// liftCordons lets machines take tasks again whose drain does not run any more.
func (c *Core) liftCordons() {
	for _, m := range c.fleet {
		if m.cordon == nil {
			continue
		}
		if s := c.draining.drains[m.cordon.drain]; s == nil || s.Record().State != records.DrainRunning {
			slog.Info("cordon is lifted", "machine", m.name, "drain", m.cordon.drain)
			m.cordon = nil
			c.dirty, c.pushDirty = true, true
		}
	}
}

// selectable is a machine as a selection looks at it.
func (o *ownership) selectable(m *machine) drain.Machine {
	return drain.Machine{Name: m.name, Zone: o.cfg.Shard, Type: m.typeName, Spot: m.spot}
}

// selected lists the machines that a drain takes in and that are still there.
func (v *fleetView) selected(s *records.Selection) []*machine {
	var out []*machine
	for _, m := range v.fleet {
		if !m.leaving && drain.Matches(s, v.selectable(m)) {
			out = append(out, m)
		}
	}
	return out
}

// advanceDrain makes a drain's next step in this shard: it cordons machines, moves
// what runs on them, and records how far the drain has come.
func (c *Core) advanceDrain(now time.Time, number int, s *drain.Steps) {
	machines := c.selected(&s.Record().Selection)
	for _, m := range machines {
		m.leavesNext = s.Record().State == records.DrainRunning
	}
	byName := make(map[string]*machine, len(machines))
	candidates := make([]drain.Candidate, 0, len(machines))
	for _, m := range machines {
		byName[m.name] = m
		sums := c.sumsOf(m)
		candidates = append(candidates, drain.Candidate{Name: m.name, Cordoned: m.cordon != nil || m.returning, Services: sums.services, CPUs: sums.used.cpus})
	}
	for _, name := range s.Choose(now, candidates, len(c.fleet)) {
		slog.Info("cordoning machine", "machine", name, "drain", number)
		byName[name].cordon = &cordon{number, now}
		c.pushDirty = true
	}
	c.draining.waits[number] = whyIdle(now, s)
	for i := range machines {
		if m := machines[(i+c.draining.turn)%len(machines)]; m.cordon != nil && m.cordon.drain == number && !m.returning {
			c.empty(now, m, number)
		}
	}
	if record, version := s.Write(c.draining.settled(number)); record != nil {
		key := records.KeyDrain(number)
		c.commit(&c.fleetView, commitDrain+"/"+strconv.Itoa(number), []wire.Change{{Put: key, Value: records.Encode(record)}}, wire.Condition{Key: key, Version: version})
	}
}

// whyIdle says why a drain has nothing to do in this shard at present; empty if it has.
func whyIdle(now time.Time, s *drain.Steps) string {
	switch open, next := s.Open(now); {
	case s.Record().State != records.DrainRunning:
		return string(s.Record().State)
	case !s.Acts() && s.Turn() != "":
		return "the first machine, in " + s.Turn() + ", is not replaced yet"
	case !open:
		return "the maintenance window opens at " + next.UTC().Format(time.RFC3339)
	}
	return ""
}

// settled says whether no task that a drain moved is on its way.
func (d *draining) settled(number int) bool {
	for _, m := range d.moves {
		if m.drain == number {
			return false
		}
	}
	return true
}

// Kinds of transactions of drains and claims, in their names.
const (
	commitClaim = "claim"
	commitDrain = "drain"
)

// drainCommitted takes in what came of a transaction of a drain or a claim.
func (d *draining) drainCommitted(now time.Time, kind, rest string, revision uint64) {
	switch kind {
	case commitClaim:
		d.ledger.Written(now, revision)
	case commitDrain:
		number, _ := strconv.Atoi(rest) // as it was written by advanceDrain
		if s := d.drains[number]; s != nil {
			s.Written(revision != 0)
		}
	}
}

// DrainProgress is how far the drains have come in this shard.
func (c *Core) DrainProgress() []drain.Progress {
	if c.draining == nil {
		return nil
	}
	var out []drain.Progress
	for _, number := range c.draining.numbers() {
		out = append(out, c.draining.progress(&c.fleetView, number, c.draining.drains[number]))
	}
	return out
}

func (d *draining) progress(v *fleetView, number int, s *drain.Steps) drain.Progress {
	p := drain.Progress{Drain: number, Shard: v.cfg.Shard, WaitingFor: d.waits[number], Failures: s.Failures()}
	for _, m := range v.selected(&s.Record().Selection) {
		p.Remaining++
		if m.cordon != nil && m.cordon.drain == number && len(p.Cordoned) < constants.DrainNames {
			p.Cordoned = append(p.Cordoned, m.name)
		}
	}
	for _, m := range d.moves {
		if m.drain == number {
			p.Moving++
		}
	}
	return p
}

// Usage is how much of the budgets is used, as the owner knows it.
func (c *Core) Usage(now time.Time) []disruption.Usage {
	if c.draining == nil {
		return nil
	}
	return c.draining.ledger.Usage(now)
}

// drained notes that a cordoned machine is gone for good.
func (d *draining) drained(m *machine) {
	if m.cordon == nil || d == nil {
		return
	}
	if s := d.drains[m.cordon.drain]; s != nil {
		s.Replaced()
	}
}
