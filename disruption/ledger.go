package disruption

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// Reason says why a task may not be stopped now.
type Reason string

// Reasons of a refusal. Only Never does not end by itself.
const (
	Never       Reason = "the budget lets none of so few tasks be down"
	Exhausted   Reason = "the budget is used up"
	Unpublished Reason = "a shard's owner has not published its claim"
	Unready     Reason = "the shard is being rebuilt"
	Writing     Reason = "the claim is being written"
)

// Refusal is why a task may not be stopped now, and by which budget.
type Refusal struct {
	Reason      Reason
	Budget      Key
	Unavailable int    // unavailable now, as far as is known
	Limit       int    // that may be
	Shard       string // whose owner has not published
}

func (r *Refusal) Error() string {
	switch r.Reason {
	case Never, Exhausted:
		return fmt.Sprintf("%s: %s (%d of %d)", r.Budget, r.Reason, r.Unavailable, r.Limit)
	case Unpublished:
		return fmt.Sprintf("%s: %s", r.Shard, r.Reason)
	}
	return string(r.Reason)
}

// claim is what the owner of another shard has published.
type claim struct {
	record  *records.DisruptionClaim
	version uint64
}

// Config is what a ledger needs to know.
type Config struct {
	Shard   string
	Shards  []string // all of the deployment, this one included
	Term    uint64   // of the shard's owner
	Budgets Budgets
	Stable  time.Duration // a task that has run for so long is up
	// SkipClaimProof lets a test see what the proof of a claim is worth: stops are allowed
	// without one.
	SkipClaimProof bool
}

// Ledger is one shard's view of the account, in one term of its owner.
type Ledger struct {
	cfg        Config
	population population
	terms      map[string]uint64 // of all shards, as far as is known
	claims     map[string]claim  // by shard, this one included

	down     Counts // unavailable here, as last observed, with stops since
	wanted   Counts // stops that were asked for and wait for a claim
	written  Counts // this term's claim, as it was last known to stand
	granted  Counts // what of it was compared with all others' claims; stops keep within it
	ready    bool   // the shard is rebuilt
	floor    Counts // what earlier owners claimed
	floorEnd time.Time
	damaged  bool // what they claimed cannot be read

	writing   bool
	sent      Counts    // the claim under way
	compared  []Key     // those of its budgets whose raise is compared with others' claims
	nextWrite time.Time // not before
}

// NewLedger makes the ledger of an owner whose term has just begun.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, population: newPopulation(cfg.Budgets), terms: map[string]uint64{cfg.Shard: cfg.Term}, claims: map[string]claim{},
		down: Counts{}, wanted: Counts{}, written: Counts{}, granted: Counts{}, floor: Counts{}}
}

// ApplyJob takes in a job's record.
func (l *Ledger) ApplyJob(now time.Time, j *records.Job) { l.population.apply(now, j) }

// ApplyTerm takes in the term of a shard.
func (l *Ledger) ApplyTerm(t *records.Term) {
	if t.Shard != "" {
		l.terms[t.Shard] = max(l.terms[t.Shard], t.Number)
	}
}

// ApplyClaim takes in a shard's claim.
func (l *Ledger) ApplyClaim(r *records.DisruptionClaim, version uint64) {
	if version <= l.claims[r.Shard].version {
		return
	}
	l.claims[r.Shard] = claim{r, version}
	switch {
	case r.Shard != l.cfg.Shard:
	case r.Term == l.cfg.Term:
		l.written = countsOf(r)
		l.lowerGrants(l.written)
	default:
		l.floor = countsOf(r)
	}
}

// ApplyDamagedClaim takes in that the claim of a shard cannot be read. Its owner writes
// another one once it can know by itself what earlier ones may have granted.
func (l *Ledger) ApplyDamagedClaim(shard string, version uint64) {
	if version > l.claims[shard].version {
		l.claims[shard] = claim{nil, version}
		l.damaged = l.damaged || shard == l.cfg.Shard
	}
}

// countsOf reads a claim's numbers.
func countsOf(r *records.DisruptionClaim) Counts {
	out := Counts{}
	for name, n := range r.Unavailable {
		if n > 0 {
			out[ParseKey(name)] = n
		}
	}
	return out
}

// Observe takes in what is unavailable in the shard. ready says that the shard is
// rebuilt: before, nothing is known of its tasks.
func (l *Ledger) Observe(now time.Time, down Counts, ready bool) {
	if ready && !l.ready {
		l.floorEnd = now.Add(l.cfg.Stable)
	}
	l.down, l.ready = down, ready
}

// KeysOf lists the budgets that the tasks of a job count against.
func (l *Ledger) KeysOf(s *wire.Submission) []Key {
	return l.cfg.Budgets.Of(s.Team, s.Class, s.IsService())
}

// Inherited is what earlier owners of the shard claimed of a budget.
func (l *Ledger) Inherited(k Key) int { return l.floor[k] }

// limit is how many tasks a budget lets be unavailable.
func (l *Ledger) limit(k Key) int {
	a, _ := l.cfg.Budgets.amount(k)
	return a.Of(l.population.all[k])
}

// own is what this shard counts against a budget: what is unavailable and, until the
// stable time has passed, what earlier owners claimed. Those may be the same tasks, or
// tasks that run and have not proved themselves.
func (l *Ledger) own(now time.Time, k Key) int {
	if l.ready && !now.Before(l.floorEnd) {
		return l.down[k]
	}
	return l.down[k] + l.floor[k]
}

// elsewhere is what counts against a budget outside of this shard.
func (l *Ledger) elsewhere(now time.Time, k Key) int {
	n := l.population.nobodys(now, k)
	for _, shard := range l.cfg.Shards {
		if r := l.claims[shard].record; shard != l.cfg.Shard && r != nil {
			n += max(0, r.Unavailable[k.String()])
		}
	}
	return n
}

// unpublished is a shard whose present owner has not published a claim, if there is one.
func (l *Ledger) unpublished() string {
	for _, shard := range l.cfg.Shards {
		if shard == l.cfg.Shard {
			continue
		}
		r := l.claims[shard].record
		if r == nil || r.Term != l.terms[shard] {
			return shard
		}
	}
	return ""
}

// Check says why one more task may not be unavailable now, nil if it may. It does not
// ask whether a claim for it is written.
func (l *Ledger) Check(now time.Time, keys []Key) *Refusal {
	if len(keys) == 0 {
		return nil
	}
	if !l.ready {
		return &Refusal{Reason: Unready}
	}
	if shard := l.unpublished(); shard != "" {
		return &Refusal{Reason: Unpublished, Shard: shard}
	}
	for _, k := range keys {
		most := l.limit(k)
		down := l.own(now, k) + l.elsewhere(now, k)
		switch {
		case most < 1:
			return &Refusal{Reason: Never, Budget: k, Unavailable: down, Limit: most}
		case down+1 > most:
			return &Refusal{Reason: Exhausted, Budget: k, Unavailable: down, Limit: most}
		}
	}
	return nil
}

// lowerGrants takes in that the claim is, or may come to be, only so much.
func (l *Ledger) lowerGrants(to Counts) {
	for k, n := range l.granted {
		l.granted[k] = min(n, to[k])
	}
}

// Headroom is how many more tasks a budget lets be unavailable, as far as is known.
func (l *Ledger) Headroom(now time.Time, k Key) int {
	return l.limit(k) - l.own(now, k) - l.elsewhere(now, k)
}

// Stop asks to stop one more task, which counts as unavailable from then on if the
// answer is nil. Where the claim for it is not written yet, that is asked for.
func (l *Ledger) Stop(now time.Time, keys []Key) *Refusal {
	if refused := l.Check(now, keys); refused != nil {
		return refused
	}
	for _, k := range keys {
		if !l.cfg.SkipClaimProof && l.own(now, k)+1 > l.granted[k] {
			l.want(now, keys)
			return &Refusal{Reason: Writing, Budget: k}
		}
	}
	l.down.Add(keys, 1)
	return nil
}

// want notes that a claim for one more task is to be written, as far as the budgets go.
func (l *Ledger) want(now time.Time, keys []Key) {
	for _, k := range keys {
		if l.wanted[k]+1 > l.Headroom(now, k) {
			return
		}
	}
	l.wanted.Add(keys, 1)
}

// Write returns the transaction's changes and conditions for a claim that is to be
// written now, beside the condition of the owner's term; nil if there is none. What
// comes of it is told with Written. Stops that were asked for since the last call and
// are not in it must be asked for again.
func (l *Ledger) Write(now time.Time, urgent bool) ([]wire.Change, []wire.Condition) {
	defer clear(l.wanted)
	if l.writing || !l.ready || now.Before(l.nextWrite) || l.damaged && now.Before(l.floorEnd) {
		return nil, nil
	}
	next, compared := l.target(now)
	mine := l.claims[l.cfg.Shard]
	if mine.record != nil && mine.record.Term == l.cfg.Term && maps.Equal(next, l.written) && len(compared) == 0 {
		return nil, nil
	}
	key := records.KeyDisruptionClaim(l.cfg.Shard)
	conditions := []wire.Condition{{Key: key, Version: mine.version}}
	if len(compared) > 0 {
		for _, shard := range l.cfg.Shards {
			if shard != l.cfg.Shard {
				conditions = append(conditions, wire.Condition{Key: records.KeyDisruptionClaim(shard), Version: l.claims[shard].version})
			}
		}
	}
	l.writing, l.sent, l.compared = true, next, compared
	l.lowerGrants(next) // it may be carried out whatever answer comes
	l.nextWrite = now.Add(constants.ClaimGap)
	if !urgent {
		l.nextWrite = now.Add(constants.ClaimGapIdle)
	}
	return []wire.Change{{Put: key, Value: records.Encode(l.record(next))}}, conditions
}

// record is this term's claim of so much.
func (l *Ledger) record(down Counts) *records.DisruptionClaim {
	r := &records.DisruptionClaim{Shard: l.cfg.Shard, Term: l.cfg.Term, Unavailable: map[string]int{}}
	for k, n := range down {
		r.Unavailable[k.String()] = n
	}
	return r
}

// target is what the claim should be, and for which budgets it is raised for stops to
// come. Those raises hold only as long as no other claim changes.
func (l *Ledger) target(now time.Time) (next Counts, compared []Key) {
	next = Counts{}
	for k := range l.down {
		next[k] = l.own(now, k)
	}
	for k := range l.floor {
		if n := l.own(now, k); n > 0 {
			next[k] = n
		}
	}
	for k, n := range l.wanted {
		// Others may have raised theirs since it was asked for.
		if n = min(n, l.Headroom(now, k)); n <= 0 {
			continue
		}
		if next[k] += n; next[k] > l.granted[k] {
			compared = append(compared, k)
		}
	}
	return next, compared
}

// Written takes in what came of a write: its revision, or 0 if it is not known to have
// been carried out. If it was all the same the feed brings it.
func (l *Ledger) Written(now time.Time, revision uint64) {
	sent, compared := l.sent, l.compared
	l.writing, l.sent, l.compared = false, nil, nil
	if revision == 0 {
		l.nextWrite = now.Add(constants.RetryBackoffMin)
		return
	}
	if revision < l.claims[l.cfg.Shard].version {
		return
	}
	l.claims[l.cfg.Shard] = claim{l.record(sent), revision}
	l.written = sent
	for _, k := range compared {
		l.granted[k] = sent[k]
	}
}

// Usage is how much of a budget is used.
type Usage struct {
	Budget             string `json:"budget"`
	Unavailable        int    `json:"down"` // unavailable in all shards, as far as is known here
	UnavailableInShard int    `json:"here"` // in this shard
	Limit              int    `json:"most"`
	Tasks              int    `json:"tasks"` // that should be up
}

// Usage lists the budgets that tasks count against now.
func (l *Ledger) Usage(now time.Time) []Usage {
	var out []Usage
	for _, k := range slices.SortedFunc(maps.Keys(l.population.all), Key.compare) {
		here := l.own(now, k)
		out = append(out, Usage{k.String(), here + l.elsewhere(now, k), here, l.limit(k), l.population.all[k]})
	}
	return out
}
