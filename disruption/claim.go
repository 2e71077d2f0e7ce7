package disruption

import (
	"maps"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// storedClaim is a shard's claim as last read from the key-value store.
type storedClaim struct {
	record  *records.DisruptionClaim // nil: the stored record cannot be decoded
	version uint64
}

// ApplyClaim applies a shard's claim from the feed.
func (l *Ledger) ApplyClaim(record *records.DisruptionClaim, version uint64) {
	if version <= l.claims[record.Shard].version {
		return
	}
	l.claims[record.Shard] = storedClaim{record, version}
	if record.Shard != l.cfg.Shard {
		return
	}
	counts := countsOf(record)
	if record.Term == l.cfg.Term {
		l.claimed = counts
		l.capGrants(counts)
	} else {
		l.inherited = counts
	}
}

// ApplyDamagedClaim records that the stored claim of a shard cannot be decoded. The shard's
// owner replaces the claim after it has rebuilt the shard and the stable time has passed.
// Until then, the tasks that earlier owners stopped may be accounted for only in the damaged
// claim.
func (l *Ledger) ApplyDamagedClaim(shard string, version uint64) {
	if version <= l.claims[shard].version {
		return
	}
	l.claims[shard] = storedClaim{nil, version}
	if shard == l.cfg.Shard {
		l.isOwnClaimDamaged = true
	}
}

// countsOf returns the positive counts of a claim.
func countsOf(record *records.DisruptionClaim) Counts {
	counts := Counts{}
	for name, n := range record.Unavailable {
		if n > 0 {
			counts[ParseBudgetKey(name)] = n
		}
	}
	return counts
}

// shardWithoutClaim returns another shard whose current owner has not published a readable
// claim, or "" if all owners have.
func (l *Ledger) shardWithoutClaim() string {
	for _, shard := range l.cfg.Shards {
		if shard == l.cfg.Shard {
			continue
		}
		record := l.claims[shard].record
		if record == nil || record.Term != l.terms[shard] {
			return shard
		}
	}
	return ""
}

// capGrants lowers the granted counts to those of a claim that is stored, or may be stored
// later.
func (l *Ledger) capGrants(claim Counts) {
	for k, n := range l.granted {
		l.granted[k] = min(n, claim[k])
	}
}

// requestClaim requests a claim for one more task, if all its budgets have headroom for it.
func (l *Ledger) requestClaim(now time.Time, keys []BudgetKey) {
	for _, k := range keys {
		if l.requested[k]+1 > l.Headroom(now, k) {
			return
		}
	}
	l.requested.Add(keys, 1)
}

// PrepareWrite returns the changes and conditions of a transaction that writes the claim,
// or nil if no write is due. The caller adds the condition that the owner's term is current,
// commits the transaction and passes the result to ApplyWriteResult. Each call discards the
// requests for claims since the previous call, so callers repeat requests that the
// transaction does not include. isDraining shortens the time to the next write.
func (l *Ledger) PrepareWrite(now time.Time, isDraining bool) (changes []wire.Change, conditions []wire.Condition) {
	defer clear(l.requested)
	if l.isWriteInFlight || !l.isRebuilt || now.Before(l.nextWriteAt) {
		return nil, nil
	}
	if l.isOwnClaimDamaged && now.Before(l.inheritedUntil) {
		return nil, nil
	}
	next, raises := l.nextClaim(now)
	stored := l.claims[l.cfg.Shard]
	isOfThisTerm := stored.record != nil && stored.record.Term == l.cfg.Term
	if isOfThisTerm && len(raises) == 0 && maps.Equal(next, l.claimed) {
		return nil, nil
	}
	key := records.KeyDisruptionClaim(l.cfg.Shard)
	changes = []wire.Change{{Put: key, Value: records.Encode(l.newClaimRecord(next))}}
	conditions = []wire.Condition{{Key: key, Version: stored.version}}
	if len(raises) > 0 {
		conditions = append(conditions, l.otherClaimsUnchanged()...)
	}
	l.isWriteInFlight = true
	l.inFlightClaim = next
	l.inFlightRaises = raises
	l.capGrants(next) // the store may apply the transaction even if its result is an error
	l.nextWriteAt = now.Add(constants.MinIdleClaimWriteInterval)
	if isDraining {
		l.nextWriteAt = now.Add(constants.MinClaimWriteInterval)
	}
	return changes, conditions
}

// otherClaimsUnchanged returns the conditions that the claims of all other shards still
// have the versions that the ledger has read.
func (l *Ledger) otherClaimsUnchanged() []wire.Condition {
	var conditions []wire.Condition
	for _, shard := range l.cfg.Shards {
		if shard != l.cfg.Shard {
			conditions = append(conditions, wire.Condition{Key: records.KeyDisruptionClaim(shard), Version: l.claims[shard].version})
		}
	}
	return conditions
}

// newClaimRecord returns the record of a claim of the counts under this term.
func (l *Ledger) newClaimRecord(counts Counts) *records.DisruptionClaim {
	record := &records.DisruptionClaim{Shard: l.cfg.Shard, Term: l.cfg.Term, Unavailable: map[string]int{}}
	for k, n := range counts {
		record.Unavailable[k.String()] = n
	}
	return record
}

// nextClaim returns the claim that should be stored, and the budgets for which the claim
// is raised above the granted count for requested stops. The raises are valid only if no
// other claim changes before the write.
func (l *Ledger) nextClaim(now time.Time) (next Counts, raises []BudgetKey) {
	next = Counts{}
	for k := range l.unavailable {
		next[k] = l.unavailableInShard(now, k)
	}
	for k := range l.inherited {
		if n := l.unavailableInShard(now, k); n > 0 {
			next[k] = n
		}
	}
	if l.shardWithoutClaim() != "" {
		return next, nil // the shard without a claim may use an unknown part of the budgets
	}
	for k, requested := range l.requested {
		// Other owners may have raised their claims since the request.
		raise := min(requested, l.Headroom(now, k))
		if raise <= 0 {
			continue
		}
		next[k] += raise
		if next[k] > l.granted[k] {
			raises = append(raises, k)
		}
	}
	return next, raises
}

// ApplyWriteResult applies the result of the transaction from PrepareWrite. revision is the
// store's revision of the write, or 0 if the write was refused or its outcome is unknown. If
// a write of unknown outcome was applied, the feed delivers the claim.
func (l *Ledger) ApplyWriteResult(now time.Time, revision uint64) {
	claim, raises := l.inFlightClaim, l.inFlightRaises
	l.isWriteInFlight = false
	l.inFlightClaim = nil
	l.inFlightRaises = nil
	if revision == 0 {
		l.nextWriteAt = now.Add(constants.RetryBackoffMin)
		return
	}
	if revision < l.claims[l.cfg.Shard].version {
		return
	}
	l.claims[l.cfg.Shard] = storedClaim{l.newClaimRecord(claim), revision}
	l.claimed = claim
	for _, k := range raises {
		l.granted[k] = claim[k]
	}
}
