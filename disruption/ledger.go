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
	ReasonNeverAllowed    Reason = "the budget lets none of so few tasks be down"
	ReasonExhausted       Reason = "the budget is used up"
	ReasonClaimMissing    Reason = "a shard's owner has not published its claim"
	ReasonShardRebuilding Reason = "the shard is being rebuilt"
	ReasonClaimPending    Reason = "the claim is being written"
)

// RefusalError is why a task may not be stopped now, and by which budget.
type RefusalError struct {
	Reason      Reason
	Budget      BudgetKey
	Unavailable int    // unavailable now, as far as is known
	Limit       int    // that may be
	Shard       string // whose owner has not published
}

func (r *RefusalError) Error() string {
	switch r.Reason {
	case ReasonNeverAllowed, ReasonExhausted:
		return fmt.Sprintf("%s: %s (%d of %d)", r.Budget, r.Reason, r.Unavailable, r.Limit)
	case ReasonClaimMissing:
		return fmt.Sprintf("%s: %s", r.Shard, r.Reason)
	}
	return string(r.Reason)
}

// storedClaim is what the owner of another shard has published.
type storedClaim struct {
	record  *records.DisruptionClaim
	version uint64
}

// Config is what a ledger needs to know.
type Config struct {
	Shard       string
	Shards      []string // all of the deployment, this one included
	Term        uint64   // of the shard's owner
	Budgets     Budgets
	StableAfter time.Duration // a task that has run for so long is up
	// SkipClaimProof lets a test see what the proof of a claim is worth: stops are allowed
	// without one.
	SkipClaimProof bool
}

// Ledger is one shard's view of the account, in one term of its owner.
type Ledger struct {
	cfg        Config
	population population
	terms      map[string]uint64      // of all shards, as far as is known
	claims     map[string]storedClaim // by shard, this one included

	unavailable       Counts // unavailable here, as last observed, with stops since
	requested         Counts // stops that were asked for and wait for a claim
	claimed           Counts // this term's claim, as it was last known to stand
	granted           Counts // what of it was compared with all others' claims; stops keep within it
	isRebuilt         bool   // the shard is rebuilt
	inherited         Counts // what earlier owners claimed
	inheritedUntil    time.Time
	isOwnClaimDamaged bool // what they claimed cannot be read

	isWriteInFlight bool
	inFlightClaim   Counts      // the claim under way
	inFlightRaises  []BudgetKey // those of its budgets whose raise is compared with others' claims
	nextWriteAt     time.Time   // not before
}

// NewLedger makes the ledger of an owner whose term has just begun.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, population: newPopulation(cfg.Budgets), terms: map[string]uint64{cfg.Shard: cfg.Term}, claims: map[string]storedClaim{},
		unavailable: Counts{}, requested: Counts{}, claimed: Counts{}, granted: Counts{}, inherited: Counts{}}
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
	l.claims[r.Shard] = storedClaim{r, version}
	switch {
	case r.Shard != l.cfg.Shard:
	case r.Term == l.cfg.Term:
		l.claimed = countsOf(r)
		l.capGrants(l.claimed)
	default:
		l.inherited = countsOf(r)
	}
}

// ApplyDamagedClaim takes in that the claim of a shard cannot be read. Its owner writes
// another one once it can know by itself what earlier ones may have granted.
func (l *Ledger) ApplyDamagedClaim(shard string, version uint64) {
	if version > l.claims[shard].version {
		l.claims[shard] = storedClaim{nil, version}
		l.isOwnClaimDamaged = l.isOwnClaimDamaged || shard == l.cfg.Shard
	}
}

// countsOf reads a claim's numbers.
func countsOf(r *records.DisruptionClaim) Counts {
	out := Counts{}
	for name, n := range r.Unavailable {
		if n > 0 {
			out[ParseBudgetKey(name)] = n
		}
	}
	return out
}

// Observe takes in what is unavailable in the shard. ready says that the shard is
// rebuilt: before, nothing is known of its tasks.
func (l *Ledger) Observe(now time.Time, down Counts, ready bool) {
	if ready && !l.isRebuilt {
		l.inheritedUntil = now.Add(l.cfg.StableAfter)
	}
	l.unavailable, l.isRebuilt = down, ready
}

// BudgetsOf lists the budgets that the tasks of a job count against.
func (l *Ledger) BudgetsOf(s *wire.Submission) []BudgetKey {
	return l.cfg.Budgets.KeysFor(s.Team, s.Class, s.IsService())
}

// InheritedUnavailable is what earlier owners of the shard claimed of a budget.
func (l *Ledger) InheritedUnavailable(k BudgetKey) int { return l.inherited[k] }

// limit is how many tasks a budget lets be unavailable.
func (l *Ledger) limit(k BudgetKey) int {
	a, _ := l.cfg.Budgets.maxUnavailable(k)
	return a.For(l.population.total[k])
}

// unavailableHere is what this shard counts against a budget: what is unavailable and, until the
// stable time has passed, what earlier owners claimed. Those may be the same tasks, or
// tasks that run and have not proved themselves.
func (l *Ledger) unavailableHere(now time.Time, k BudgetKey) int {
	if l.isRebuilt && !now.Before(l.inheritedUntil) {
		return l.unavailable[k]
	}
	return l.unavailable[k] + l.inherited[k]
}

// unavailableElsewhere is what counts against a budget outside of this shard.
func (l *Ledger) unavailableElsewhere(now time.Time, k BudgetKey) int {
	n := l.population.countUnowned(now, k)
	for _, shard := range l.cfg.Shards {
		if r := l.claims[shard].record; shard != l.cfg.Shard && r != nil {
			n += max(0, r.Unavailable[k.String()])
		}
	}
	return n
}

// shardWithoutClaim is a shard whose present owner has not published a claim, if there is one.
func (l *Ledger) shardWithoutClaim() string {
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
func (l *Ledger) Check(now time.Time, keys []BudgetKey) *RefusalError {
	if len(keys) == 0 {
		return nil
	}
	if !l.isRebuilt {
		return &RefusalError{Reason: ReasonShardRebuilding}
	}
	if shard := l.shardWithoutClaim(); shard != "" {
		return &RefusalError{Reason: ReasonClaimMissing, Shard: shard}
	}
	for _, k := range keys {
		most := l.limit(k)
		down := l.unavailableHere(now, k) + l.unavailableElsewhere(now, k)
		switch {
		case most < 1:
			return &RefusalError{Reason: ReasonNeverAllowed, Budget: k, Unavailable: down, Limit: most}
		case down+1 > most:
			return &RefusalError{Reason: ReasonExhausted, Budget: k, Unavailable: down, Limit: most}
		}
	}
	return nil
}

// capGrants takes in that the claim is, or may come to be, only so much.
func (l *Ledger) capGrants(to Counts) {
	for k, n := range l.granted {
		l.granted[k] = min(n, to[k])
	}
}

// Headroom is how many more tasks a budget lets be unavailable, as far as is known.
func (l *Ledger) Headroom(now time.Time, k BudgetKey) int {
	return l.limit(k) - l.unavailableHere(now, k) - l.unavailableElsewhere(now, k)
}

// RequestStop asks to stop one more task, which counts as unavailable from then on if the
// answer is nil. Where the claim for it is not written yet, that is asked for.
func (l *Ledger) RequestStop(now time.Time, keys []BudgetKey) *RefusalError {
	if refused := l.Check(now, keys); refused != nil {
		return refused
	}
	for _, k := range keys {
		if !l.cfg.SkipClaimProof && l.unavailableHere(now, k)+1 > l.granted[k] {
			l.requestClaim(now, keys)
			return &RefusalError{Reason: ReasonClaimPending, Budget: k}
		}
	}
	l.unavailable.Add(keys, 1)
	return nil
}

// requestClaim notes that a claim for one more task is to be written, as far as the budgets go.
func (l *Ledger) requestClaim(now time.Time, keys []BudgetKey) {
	for _, k := range keys {
		if l.requested[k]+1 > l.Headroom(now, k) {
			return
		}
	}
	l.requested.Add(keys, 1)
}

// PrepareWrite returns the transaction's changes and conditions for a claim that is to be
// written now, beside the condition of the owner's term; nil if there is none. What
// comes of it is told with Written. Stops that were asked for since the last call and
// are not in it must be asked for again.
func (l *Ledger) PrepareWrite(now time.Time, urgent bool) ([]wire.Change, []wire.Condition) {
	defer clear(l.requested)
	if l.isWriteInFlight || !l.isRebuilt || now.Before(l.nextWriteAt) || l.isOwnClaimDamaged && now.Before(l.inheritedUntil) {
		return nil, nil
	}
	next, compared := l.nextClaim(now)
	mine := l.claims[l.cfg.Shard]
	if mine.record != nil && mine.record.Term == l.cfg.Term && maps.Equal(next, l.claimed) && len(compared) == 0 {
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
	l.isWriteInFlight, l.inFlightClaim, l.inFlightRaises = true, next, compared
	l.capGrants(next) // it may be carried out whatever answer comes
	l.nextWriteAt = now.Add(constants.ClaimWriteGap)
	if !urgent {
		l.nextWriteAt = now.Add(constants.ClaimWriteGapIdle)
	}
	return []wire.Change{{Put: key, Value: records.Encode(l.newClaimRecord(next))}}, conditions
}

// newClaimRecord is this term's claim of so much.
func (l *Ledger) newClaimRecord(down Counts) *records.DisruptionClaim {
	r := &records.DisruptionClaim{Shard: l.cfg.Shard, Term: l.cfg.Term, Unavailable: map[string]int{}}
	for k, n := range down {
		r.Unavailable[k.String()] = n
	}
	return r
}

// nextClaim is what the claim should be, and for which budgets it is raised for stops to
// come. Those raises hold only as long as no other claim changes.
func (l *Ledger) nextClaim(now time.Time) (next Counts, compared []BudgetKey) {
	next = Counts{}
	for k := range l.unavailable {
		next[k] = l.unavailableHere(now, k)
	}
	for k := range l.inherited {
		if n := l.unavailableHere(now, k); n > 0 {
			next[k] = n
		}
	}
	for k, n := range l.requested {
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

// ApplyWriteResult takes in what came of a write: its revision, or 0 if it is not known to have
// been carried out. If it was all the same the feed brings it.
func (l *Ledger) ApplyWriteResult(now time.Time, revision uint64) {
	sent, compared := l.inFlightClaim, l.inFlightRaises
	l.isWriteInFlight, l.inFlightClaim, l.inFlightRaises = false, nil, nil
	if revision == 0 {
		l.nextWriteAt = now.Add(constants.RetryBackoffMin)
		return
	}
	if revision < l.claims[l.cfg.Shard].version {
		return
	}
	l.claims[l.cfg.Shard] = storedClaim{l.newClaimRecord(sent), revision}
	l.claimed = sent
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
	for _, k := range slices.SortedFunc(maps.Keys(l.population.total), BudgetKey.compare) {
		here := l.unavailableHere(now, k)
		out = append(out, Usage{k.String(), here + l.unavailableElsewhere(now, k), here, l.limit(k), l.population.total[k]})
	}
	return out
}
