package shard

import "ravenport/constants"

// termCounters counts the attempt numbers and fencing tokens that a term has used. Both
// have the term in their high bits, and the count must not overflow into those of the next
// term.
type termCounters struct {
	term          uint64
	attempts      uint64 // attempt numbers used
	maxTokenCount uint64 // the highest token counter of any machine
	// Limits of both; tests set smaller ones.
	attemptLimit, tokenLimit uint64
}

func newTermCounters(term uint64) termCounters {
	return termCounters{term: term, attemptLimit: 1 << constants.AttemptBits, tokenLimit: 1 << constants.TokenCounterBits}
}

// nextAttempt returns an attempt number that no other attempt has.
func (n *termCounters) nextAttempt() uint64 {
	n.attempts++
	return n.term<<constants.AttemptBits | n.attempts
}

// raiseToken raises the fencing token for a machine.
func (n *termCounters) raiseToken(m *machine) {
	m.tokenCount++
	n.maxTokenCount = max(n.maxTokenCount, m.tokenCount)
}

// isNearlyExhausted reports whether so many numbers are used that the owner needs a new term.
func (n *termCounters) isNearlyExhausted() bool {
	const whole = 16
	return n.attempts >= n.attemptLimit/whole*constants.RenewTermAtSixteenths ||
		n.maxTokenCount >= n.tokenLimit/whole*constants.RenewTermAtSixteenths
}

// isExhausted reports whether nothing more may be decided under this term. Some numbers are
// left for what a step that has begun still decides.
func (n *termCounters) isExhausted() bool {
	const reserve = 256 // the part that is left: far less than the last sixteenth
	return n.attempts >= n.attemptLimit-n.attemptLimit/reserve ||
		n.maxTokenCount >= n.tokenLimit-n.tokenLimit/reserve
}

// tokenTerm is the term of a fencing token.
func tokenTerm(token uint64) uint64 { return token >> constants.TokenCounterBits }

// lastToken is the highest fencing token of a term.
func lastToken(term uint64) uint64 { return (term+1)<<constants.TokenCounterBits - 1 }

// attemptTerm is the term in which an attempt number was used; 0 for a gang's shared number.
func attemptTerm(number uint64) uint64 { return number >> constants.AttemptBits }

// IsTermNearlyExhausted reports whether the owner should acquire a new term, before this
// one's attempt numbers or fencing tokens run out.
func (o *ownership) IsTermNearlyExhausted() bool { return o.counters.isNearlyExhausted() }

// LimitTermCounters sets how many attempt numbers and tokens the term has, for tests.
func (o *ownership) LimitTermCounters(attempts, tokens uint64) {
	o.counters.attemptLimit, o.counters.tokenLimit = attempts, tokens
}
