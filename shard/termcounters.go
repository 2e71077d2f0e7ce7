package shard

import "ravenport/constants"

// termCounters hands out a term's attempt numbers and knows how many of its tokens are
// used. Neither may run into those of the next term.
type termCounters struct {
	term          uint64
	attempts      uint64 // handed out
	maxTokenCount uint64 // the most that any machine's token was raised
	// Limits; tests set smaller ones.
	attemptLimit, tokenLimit uint64
}

func newTermCounters(term uint64) termCounters {
	return termCounters{term: term, attemptLimit: 1 << constants.AttemptBits, tokenLimit: 1 << constants.TokenCounterBits}
}

// nextAttempt returns the next attempt number, which no other attempt has.
func (n *termCounters) nextAttempt() uint64 {
	n.attempts++
	return n.term<<constants.AttemptBits | n.attempts
}

// raiseToken raises a machine's token.
func (n *termCounters) raiseToken(m *machine) {
	m.tokenCount++
	n.maxTokenCount = max(n.maxTokenCount, m.tokenCount)
}

// isNearlyExhausted says that so many numbers are used that the owner needs a new term.
func (n *termCounters) isNearlyExhausted() bool {
	const whole = 16
	return n.attempts >= n.attemptLimit/whole*constants.RenewTermAtSixteenths || n.maxTokenCount >= n.tokenLimit/whole*constants.RenewTermAtSixteenths
}

// isExhausted says that nothing more may be decided under this term. Some numbers are left
// for what a step that has begun still decides.
func (n *termCounters) isExhausted() bool {
	const step = 256 // far more than a part of the last sixteenth
	return n.attempts >= n.attemptLimit-n.attemptLimit/step || n.maxTokenCount >= n.tokenLimit-n.tokenLimit/step
}

// IsTermNearlyExhausted says that the owner should be given a new term before this one's numbers
// run out.
func (o *ownership) IsTermNearlyExhausted() bool { return o.counters.isNearlyExhausted() }

// LimitTermCounters has the numbers of the term run out earlier, for tests.
func (o *ownership) LimitTermCounters(attempts, epochs uint64) {
	o.counters.attemptLimit, o.counters.tokenLimit = attempts, epochs
}
