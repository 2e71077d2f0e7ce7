package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// ownership is whose shard it is: the deployment, the owner's term, and until when the
// owner may act under it.
type ownership struct {
	cfg            Config
	term           uint64
	termVersion    uint64
	acquiredAt     time.Time
	authorityUntil time.Time // may act until then
	fenced         bool
	counters       termCounters
}

// SetAuthority says until when the owner may answer workers and start tasks.
func (o *ownership) SetAuthority(until time.Time) { o.authorityUntil = until }

func (o *ownership) mayAct(now time.Time) bool {
	return !o.fenced && !o.counters.isExhausted() && now.Before(o.authorityUntil)
}

// mayExtendLeases says whether the owner still answers reports though its authority has
// ended, whether or not another one is known to have begun: a zone that is cut off
// has nobody else, and its machines would end what they run. It gives no commands
// then, and does not keep a machine that has seen a later token.
func (o *ownership) mayExtendLeases(now time.Time) bool {
	extension := time.Duration(float64(o.cfg.LeaseExtension)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	return !o.authorityUntil.IsZero() && now.Before(o.authorityUntil.Add(extension))
}

// leaseExpiry is when the lease of a machine has surely ended that is answered now.
// Until it shows a token of this term the owner before may be lease extension it.
func (o *ownership) leaseExpiry(now time.Time, m *machine) time.Time {
	extendedUntil := o.acquiredAt.Add(time.Duration(float64(o.cfg.LeaseExtension)*(1+constants.MaxClockDrift)) + constants.AuthorityMargin)
	if !m.hasSeenTerm(o.term) && extendedUntil.After(now) {
		now = extendedUntil
	}
	return now.Add(o.cfg.LeaseExpiry)
}

// fencingToken is what the owner's answers and commands to a machine carry: its term,
// and below it a count of its own for the machine, which makes what it sent
// there before harmless without a new term.
func (o *ownership) fencingToken(m *machine) uint64 {
	return o.term<<constants.TokenCounterBits | m.tokenCount
}

// observeToken stops the owner for good once a machine has seen a later term.
func (o *ownership) observeToken(r *wire.Heartbeat) {
	if r.FencingToken>>constants.TokenCounterBits <= o.term {
		return
	}
	if !o.fenced {
		slog.Warn("a machine has seen a higher token", "machine", r.Machine, "token", r.FencingToken, "term", o.term)
	}
	o.fenced = true
}

// requestConfirmation asks a machine to show that answers or commands reach it.
func (o *ownership) requestConfirmation(now time.Time, m *machine) {
	if m.isUnconfirmed() || !m.up {
		return
	}
	o.counters.raiseToken(m)
	m.unconfirmedSince, m.confirmationToken, m.unansweredUnconfirmed = now, o.fencingToken(m), 0
}

// EnablePacking says that no process of the version before can come any more.
func (o *ownership) EnablePacking() { o.cfg.SizeLimits.PackingEnabled = true }
