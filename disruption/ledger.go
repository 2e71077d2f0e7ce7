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
	Shards      []string // all shards of the deployment, including this shard
	Term        uint64   // of the shard's owner
	Budgets     Budgets
	StableAfter time.Duration // a task that has run for this long counts as available
	// SkipClaimCheck allows stops without a stored claim that covers them. Tests set it to
	// show that budgets are violated without claims.
	SkipClaimCheck bool
}

// Ledger is one owner's view of the usage of all budgets, in one term. It is not safe for
// concurrent use.
type Ledger struct {
	cfg        Config
	population population
	terms      map[string]uint64      // highest known term, by shard
	claims     map[string]storedClaim // last known claim, by shard, including this shard

	isRebuilt   bool   // the owner knows the state of the shard's tasks
	unavailable Counts // in this shard: as last observed, plus the stops allowed since

	inherited         Counts    // claimed by earlier owners of the shard
	inheritedUntil    time.Time // the inherited counts apply until then
	isOwnClaimDamaged bool      // the shard's stored claim was undecodable in this term

	requested Counts // stops that were requested and wait for a claim
	claimed   Counts // this term's claim as last known to be stored
	// granted is the part of the claim that was written on the condition that no other
	// shard's claim had changed. Stops may not exceed it.
	granted Counts

	isWriteInFlight bool
	inFlightClaim   Counts
	inFlightRaises  []BudgetKey // budgets that the write raises, if no other claim has changed
	nextWriteAt     time.Time   // earliest time of the next write
}

// NewLedger returns the ledger of an owner at the start of its term.
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

// ApplyTerm applies the record of a shard's term from the feed.
func (l *Ledger) ApplyTerm(t *records.Term) {
	if t.Shard != "" {
		l.terms[t.Shard] = max(l.terms[t.Shard], t.Number)
	}
}

// Observe sets how many tasks of the shard are unavailable. isRebuilt is whether the owner
// has rebuilt the shard's state. Until then the state of the shard's tasks is unknown.
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

// InheritedUnavailable returns how many tasks earlier owners of the shard claimed of a
// budget.
func (l *Ledger) InheritedUnavailable(k BudgetKey) int { return l.inherited[k] }

// limit returns how many tasks a budget allows to be unavailable.
func (l *Ledger) limit(k BudgetKey) int {
	budget, _ := l.cfg.Budgets.maxUnavailable(k)
	return budget.For(l.population.total[k])
}

// unavailableInShard returns how many tasks of this shard count against a budget: the
// unavailable tasks and, until the stable time has passed, the tasks that earlier owners
// claimed. The two sets may overlap. A task that an earlier owner claimed may also be
// running again, but for less than the stable time.
func (l *Ledger) unavailableInShard(now time.Time, k BudgetKey) int {
	if l.isRebuilt && !now.Before(l.inheritedUntil) {
		return l.unavailable[k]
	}
	return l.unavailable[k] + l.inherited[k]
}

// unavailableOutsideShard returns how many tasks outside this shard count against a budget:
// the tasks that other shards claim, and the tasks that no owner counts.
func (l *Ledger) unavailableOutsideShard(now time.Time, k BudgetKey) int {
	n := l.population.countUnowned(now, k)
	for _, shard := range l.cfg.Shards {
		if record := l.claims[shard].record; shard != l.cfg.Shard && record != nil {
			n += max(0, record.Unavailable[k.String()])
		}
	}
	return n
}

// Headroom returns how many more tasks a budget allows to be unavailable, according to the
// claims that the ledger has read. It is negative if the budget is exceeded.
func (l *Ledger) Headroom(now time.Time, k BudgetKey) int {
	return l.limit(k) - l.unavailableInShard(now, k) - l.unavailableOutsideShard(now, k)
}

// Check returns why no further task that counts against the keys may become unavailable now,
// or nil if one may. It does not check whether a claim that covers the task is stored.
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

// RequestStop requests to stop one more task that counts against the keys. If RequestStop
// returns nil, the task may be stopped and counts as unavailable from now on. If the budgets
// allow the stop but no stored claim covers the task, RequestStop refuses with
// ReasonClaimPending and requests the claim for the next write.
func (l *Ledger) RequestStop(now time.Time, keys []BudgetKey) *RefusalError {
	if refusal := l.Check(now, keys); refusal != nil {
		return refusal
	}
	for _, k := range keys {
		if !l.cfg.SkipClaimCheck && l.unavailableInShard(now, k)+1 > l.granted[k] {
			l.requestClaim(now, keys)
			return &RefusalError{Reason: ReasonClaimPending, Budget: k}
		}
	}
	l.unavailable.Add(keys, 1)
	return nil
}

// Usage describes how many tasks count against a budget.
type Usage struct {
	Budget             string `json:"budget"`
	Unavailable        int    `json:"down"`  // unavailable tasks in all shards, as this ledger knows them
	UnavailableInShard int    `json:"here"`  // unavailable tasks in this shard
	Limit              int    `json:"most"`  // tasks that may be unavailable
	Tasks              int    `json:"tasks"` // tasks that should be available
}

// Usage lists the usage of all budgets that tasks count against now, in the order of
// BudgetKey.compare.
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
