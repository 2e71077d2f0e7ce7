package shard

import "ravenport/constants"

// termCounters counts the attempt numbers and fencing tokens that a term has used. Both
// contain the term in their high bits, so the counts must not overflow into the numbers of
// the next term.
type termCounters struct {
	term          uint64
	attempts      uint64 // number of attempt numbers used
	maxTokenCount uint64 // the highest token counter of any machine
	// Limits of both counts; tests set lower limits.
	attemptLimit, tokenLimit uint64
}

func newTermCounters(term uint64) termCounters {
	return termCounters{term: term, attemptLimit: 1 << constants.AttemptBits, tokenLimit: 1 << constants.TokenCounterBits}
}

// nextAttempt returns an unused attempt number.
func (n *termCounters) nextAttempt() uint64 {
	n.attempts++
	return n.term<<constants.AttemptBits | n.attempts
}

// raiseToken raises the fencing token for a machine.
func (n *termCounters) raiseToken(m *machine) {
	m.tokenCount++
	n.maxTokenCount = max(n.maxTokenCount, m.tokenCount)
}

// isNearlyExhausted reports whether so many numbers of the term are used that the owner needs
// a new term.
func (n *termCounters) isNearlyExhausted() bool {
	const sixteenths = 16
	return n.attempts >= n.attemptLimit/sixteenths*constants.RenewTermAtSixteenths ||
		n.maxTokenCount >= n.tokenLimit/sixteenths*constants.RenewTermAtSixteenths
}

// isExhausted reports whether the owner must decide nothing more under this term. The
// remaining numbers are reserved for the decisions of a step that has already begun.
func (n *termCounters) isExhausted() bool {
	const reserveDivisor = 256 // one part in this many of the numbers is reserved: far less than the last sixteenth
	return n.attempts >= n.attemptLimit-n.attemptLimit/reserveDivisor ||
		n.maxTokenCount >= n.tokenLimit-n.tokenLimit/reserveDivisor
}

// tokenTerm returns the term of a fencing token.
func tokenTerm(token uint64) uint64 { return token >> constants.TokenCounterBits }

// lastToken returns the highest fencing token of a term.
func lastToken(term uint64) uint64 { return (term+1)<<constants.TokenCounterBits - 1 }

// attemptTerm returns the term that an attempt number contains; 0 for the shared number of a
// gang.
func attemptTerm(number uint64) uint64 { return number >> constants.AttemptBits }

// IsTermNearlyExhausted reports whether the owner should acquire a new term, before the
// attempt numbers or fencing tokens of its term run out.
func (o *ownership) IsTermNearlyExhausted() bool { return o.counters.isNearlyExhausted() }

// LimitTermCounters sets the number of attempt numbers and fencing tokens of the term. Only
// tests use it.
func (o *ownership) LimitTermCounters(attempts, tokens uint64) {
	o.counters.attemptLimit, o.counters.tokenLimit = attempts, tokens
}
