package disruption

import (
	"maps"
	"time"

	"ravenport/constants"
	"ravenport/records"
	"ravenport/wire"
)

// storedClaim is a shard's claim as last read.
type storedClaim struct {
	record  *records.DisruptionClaim // nil: it cannot be read
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

// ApplyDamagedClaim applies that the claim of a shard cannot be read. The shard's owner
// replaces it once it can know by itself what earlier owners may have granted.
func (l *Ledger) ApplyDamagedClaim(shard string, version uint64) {
	if version <= l.claims[shard].version {
		return
	}
	l.claims[shard] = storedClaim{nil, version}
	if shard == l.cfg.Shard {
		l.isOwnClaimDamaged = true
	}
}

// countsOf returns a claim's counts that are positive.
func countsOf(record *records.DisruptionClaim) Counts {
	counts := Counts{}
	for name, n := range record.Unavailable {
		if n > 0 {
			counts[ParseBudgetKey(name)] = n
		}
	}
	return counts
}

// shardWithoutClaim is a shard whose present owner has not published a claim, or "" if
// there is none.
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

// capGrants lowers what is granted to a claim that is, or may come to be, the stored one.
func (l *Ledger) capGrants(claim Counts) {
	for k, n := range l.granted {
		l.granted[k] = min(n, claim[k])
	}
}

// requestClaim requests a claim for one more task, within the headroom of its budgets.
func (l *Ledger) requestClaim(now time.Time, keys []BudgetKey) {
	for _, k := range keys {
		if l.requested[k]+1 > l.Headroom(now, k) {
			return
		}
	}
	l.requested.Add(keys, 1)
}

// PrepareWrite returns the changes and conditions of a transaction that writes the claim,
// or nil if none is to be written now. The caller adds the condition of the owner's term,
// commits the transaction and passes its result to ApplyWriteResult. Requests for claims
// since the last call that are not in it must be repeated. isDraining shortens the time to
// the next write.
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
	l.capGrants(next) // the transaction may be applied whatever its result says
	l.nextWriteAt = now.Add(constants.MinIdleClaimWriteInterval)
	if isDraining {
		l.nextWriteAt = now.Add(constants.MinClaimWriteInterval)
	}
	return changes, conditions
}

// otherClaimsUnchanged are the conditions that the claims of all other shards are those
// that the ledger has read.
func (l *Ledger) otherClaimsUnchanged() []wire.Condition {
	var conditions []wire.Condition
	for _, shard := range l.cfg.Shards {
		if shard != l.cfg.Shard {
			conditions = append(conditions, wire.Condition{Key: records.KeyDisruptionClaim(shard), Version: l.claims[shard].version})
		}
	}
	return conditions
}

// newClaimRecord is the record of this term's claim of the counts.
func (l *Ledger) newClaimRecord(counts Counts) *records.DisruptionClaim {
	record := &records.DisruptionClaim{Shard: l.cfg.Shard, Term: l.cfg.Term, Unavailable: map[string]int{}}
	for k, n := range counts {
		record.Unavailable[k.String()] = n
	}
	return record
}

// nextClaim returns the claim that should be stored, and the budgets for which it is raised
// for requested stops. Those raises are valid only while no other claim changes.
func (l *Ledger) nextClaim(now time.Time) (next Counts, raises []BudgetKey) {
	next = Counts{}
	for k := range l.unavailable {
		next[k] = l.unavailableHere(now, k)
	}
	for k := range l.inherited {
		if n := l.unavailableHere(now, k); n > 0 {
			next[k] = n
		}
	}
	if l.shardWithoutClaim() != "" {
		return next, nil // what that shard's owner may have granted is not known
	}
	for k, requested := range l.requested {
		// Others may have raised theirs since the request.
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

// ApplyWriteResult applies the result of the transaction from PrepareWrite: the revision
// of the store at which it was written, or 0 if it is not known to have been written. If
// it was written all the same, the feed brings the claim.
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
