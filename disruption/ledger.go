package disruption

import (
	"maps"
	"slices"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// Config configures a Ledger.
type Config struct {
	Shard       string
	Shards      []string // all of the deployment, this one included
	Term        uint64   // of the shard's owner
	Budgets     Budgets
	StableAfter time.Duration // a task that has run for so long counts as available
	// SkipClaimProof allows stops without a claim that covers them, so that tests can show
	// what claims are needed for.
	SkipClaimProof bool
}

// Ledger is one owner's view of the use of all budgets, in one term. It is not safe for
// concurrent use.
type Ledger struct {
	cfg        Config
	population population
	terms      map[string]uint64      // the highest known, by shard
	claims     map[string]storedClaim // the last known, by shard, this one included

	isRebuilt   bool   // the state of the shard's tasks is known
	unavailable Counts // in this shard: as last observed, with stops since

	inherited         Counts // what earlier owners of the shard claimed
	inheritedUntil    time.Time
	isOwnClaimDamaged bool // what they claimed cannot be read

	requested Counts // stops that were requested and wait for a claim
	claimed   Counts // this term's claim as last known to be stored
	granted   Counts // what of it was compared with all others' claims; stops keep within it

	isWriteInFlight bool
	inFlightClaim   Counts
	inFlightRaises  []BudgetKey // budgets whose raise is compared with others' claims
	nextWriteAt     time.Time   // not before
}

// NewLedger returns the ledger of an owner whose term has just begun.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{
		cfg:         cfg,
		population:  newPopulation(cfg.Budgets),
		terms:       map[string]uint64{cfg.Shard: cfg.Term},
		claims:      map[string]storedClaim{},
		unavailable: Counts{},
		inherited:   Counts{},
		requested:   Counts{},
		claimed:     Counts{},
		granted:     Counts{},
	}
}

// ApplyJob applies a job's record from the feed.
func (l *Ledger) ApplyJob(now time.Time, j *records.Job) { l.population.apply(now, j) }

// ApplyTerm applies the record of a shard's term.
func (l *Ledger) ApplyTerm(t *records.Term) {
	if t.Shard != "" {
		l.terms[t.Shard] = max(l.terms[t.Shard], t.Number)
	}
}

// Observe sets how many tasks of the shard are unavailable. isRebuilt says whether the
// owner has rebuilt the shard's state: before, it knows nothing of its tasks.
func (l *Ledger) Observe(now time.Time, unavailable Counts, isRebuilt bool) {
	if isRebuilt && !l.isRebuilt {
		l.inheritedUntil = now.Add(l.cfg.StableAfter)
	}
	l.unavailable = unavailable
	l.isRebuilt = isRebuilt
}

// BudgetsOf lists the budgets that the tasks of a job count against.
func (l *Ledger) BudgetsOf(s *wire.Submission) []BudgetKey {
	return l.cfg.Budgets.KeysFor(s.Team, s.Class, s.IsService())
}

// InheritedUnavailable is what earlier owners of the shard claimed of a budget.
func (l *Ledger) InheritedUnavailable(k BudgetKey) int { return l.inherited[k] }

// limit is how many tasks a budget allows to be unavailable.
func (l *Ledger) limit(k BudgetKey) int {
	budget, _ := l.cfg.Budgets.maxUnavailable(k)
	return budget.For(l.population.total[k])
}

// unavailableInShard is what this shard counts against a budget: the unavailable tasks and,
// until the stable time has passed, what earlier owners claimed. Those may be the same
// tasks, or tasks that run but have not proved themselves stable.
func (l *Ledger) unavailableInShard(now time.Time, k BudgetKey) int {
	if l.isRebuilt && !now.Before(l.inheritedUntil) {
		return l.unavailable[k]
	}
	return l.unavailable[k] + l.inherited[k]
}

// unavailableOutsideShard is what counts against a budget outside of this shard.
func (l *Ledger) unavailableOutsideShard(now time.Time, k BudgetKey) int {
	n := l.population.countUnowned(now, k)
	for _, shard := range l.cfg.Shards {
		if record := l.claims[shard].record; shard != l.cfg.Shard && record != nil {
			n += max(0, record.Unavailable[k.String()])
		}
	}
	return n
}

// Headroom is how many more tasks a budget allows to be unavailable, as far as is known.
func (l *Ledger) Headroom(now time.Time, k BudgetKey) int {
	return l.limit(k) - l.unavailableInShard(now, k) - l.unavailableOutsideShard(now, k)
}

// Check returns why one more task that counts against the keys may not be unavailable now,
// or nil if it may. It does not check whether a claim that covers the task is stored.
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
		limit := l.limit(k)
		unavailable := l.unavailableInShard(now, k) + l.unavailableOutsideShard(now, k)
		switch {
		case limit < 1:
			return &RefusalError{Reason: ReasonNeverAllowed, Budget: k, Unavailable: unavailable, Limit: limit}
		case unavailable+1 > limit:
			return &RefusalError{Reason: ReasonExhausted, Budget: k, Unavailable: unavailable, Limit: limit}
		}
	}
	return nil
}

// RequestStop requests to stop one more task that counts against the keys. If it returns
// nil, the task may be stopped and counts as unavailable from now on. If only a claim that
// covers the task is missing, it also requests that claim.
func (l *Ledger) RequestStop(now time.Time, keys []BudgetKey) *RefusalError {
	if refusal := l.Check(now, keys); refusal != nil {
		return refusal
	}
	for _, k := range keys {
		if !l.cfg.SkipClaimProof && l.unavailableInShard(now, k)+1 > l.granted[k] {
			l.requestClaim(now, keys)
			return &RefusalError{Reason: ReasonClaimPending, Budget: k}
		}
	}
	l.unavailable.Add(keys, 1)
	return nil
}

// Usage is how much of a budget is used.
type Usage struct {
	Budget             string `json:"budget"`
	Unavailable        int    `json:"down"`  // tasks in all shards, as far as is known here
	UnavailableInShard int    `json:"here"`  // tasks in this shard
	Limit              int    `json:"most"`  // tasks that may be unavailable
	Tasks              int    `json:"tasks"` // that should be available
}

// Usage lists in order the budgets that tasks count against now.
func (l *Ledger) Usage(now time.Time) []Usage {
	var usage []Usage
	for _, k := range slices.SortedFunc(maps.Keys(l.population.total), BudgetKey.compare) {
		inShard := l.unavailableInShard(now, k)
		usage = append(usage, Usage{
			Budget:             k.String(),
			Unavailable:        inShard + l.unavailableOutsideShard(now, k),
			UnavailableInShard: inShard,
			Limit:              l.limit(k),
			Tasks:              l.population.total[k],
		})
	}
	return usage
}
