package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// ownership holds the configuration, the owner's term, the end of the owner's authority, and
// whether the owner was fenced. Only methods of ownership change it, except that
// CommitInvalid changes the limits on the size of writes.
type ownership struct {
	cfg            Config
	term           uint64
	termVersion    uint64    // version of the shard's record, on which every transaction depends
	acquiredAt     time.Time // when the owner learned that it had acquired the term
	authorityUntil time.Time // end of the authority to act
	fenced         bool      // a machine has seen a later term: the owner must not act any more
	counters       termCounters
}

// SetAuthority sets the time until which the owner may answer workers and start tasks.
func (o *ownership) SetAuthority(until time.Time) { o.authorityUntil = until }

// mayAct reports whether the owner may give commands and write to the key-value store.
func (o *ownership) mayAct(now time.Time) bool {
	return !o.fenced && !o.counters.isExhausted() && now.Before(o.authorityUntil)
}

// mayExtendLeases reports whether the owner still answers heartbeats after the end of its
// authority, whether or not another controller is known to have acquired a later term. In a
// partitioned zone the workers reach no other controller, and without a reply they would
// end their tasks. The owner then gives no commands but the stops of cancelled tasks, and
// does not extend the lease of a machine that has seen a later term.
func (o *ownership) mayExtendLeases(now time.Time) bool {
	extension := time.Duration(float64(o.cfg.LeaseExtension)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	return !o.authorityUntil.IsZero() && now.Before(o.authorityUntil.Add(extension))
}

// leaseExpiry returns the time at which the lease of a machine has expired for certain if the
// machine is answered now. Until the machine reports a token of this term, the previous owner
// may extend its lease.
func (o *ownership) leaseExpiry(now time.Time, m *machine) time.Time {
	extendedUntil := o.acquiredAt.Add(time.Duration(float64(o.cfg.LeaseExtension)*(1+constants.MaxClockDrift)) + constants.AuthorityMargin)
	if !m.hasSeenTerm(o.term) && extendedUntil.After(now) {
		now = extendedUntil
	}
	return now.Add(o.cfg.LeaseTimeout)
}

// fencingToken returns the token of the owner's replies and commands to a machine. It
// contains the term and, in its low bits, a counter for the machine. A raised counter fences
// what was sent to the machine before, without a new term.
func (o *ownership) fencingToken(m *machine) uint64 {
	return o.term<<constants.TokenCounterBits | m.tokenCount
}

// observeToken fences the owner permanently if a machine has seen a later term.
func (o *ownership) observeToken(status *wire.Heartbeat) {
	if tokenTerm(status.FencingToken) <= o.term {
		return
	}
	if !o.fenced {
		slog.Warn("machine has seen a later term", logkey.Machine, status.Machine, logkey.FencingToken, status.FencingToken, logkey.Term, o.term)
	}
	o.fenced = true
}

// requestConfirmation marks a machine as unconfirmed: the machine has to report a new fencing
// token, which proves that replies or commands reach it.
func (o *ownership) requestConfirmation(now time.Time, m *machine) {
	if m.isUnconfirmed() || !m.up {
		return
	}
	o.counters.raiseToken(m)
	m.unconfirmedSince = now
	m.confirmationToken = o.fencingToken(m)
	m.unansweredUnconfirmed = 0
}

// EnablePacking allows packed records. Processes of the previous version cannot read them,
// and no such process can join any more.
func (o *ownership) EnablePacking() { o.cfg.SizeLimits.PackingEnabled = true }
