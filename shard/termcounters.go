package shard

import "ravenport/constants"

// numbers hands out a term's attempt numbers and knows how many of its tokens are
// used. Neither may run into those of the next term.
type numbers struct {
	term     uint64
	attempts uint64 // handed out
	epochs   uint64 // the most that any machine's token was raised
	// Limits; tests set smaller ones.
	mostAttempts, mostEpochs uint64
}

func newNumbers(term uint64) numbers {
	return numbers{term: term, mostAttempts: 1 << constants.AttemptBits, mostEpochs: 1 << constants.EpochBits}
}

// attempt returns the next attempt number, which no other attempt has.
func (n *numbers) attempt() uint64 {
	n.attempts++
	return n.term<<constants.AttemptBits | n.attempts
}

// raise raises a machine's token.
func (n *numbers) raise(m *machine) {
	m.tokenCount++
	n.epochs = max(n.epochs, m.tokenCount)
}

// low says that so many numbers are used that the owner needs a new term.
func (n *numbers) low() bool {
	const whole = 16
	return n.attempts >= n.mostAttempts/whole*constants.TermUsed || n.epochs >= n.mostEpochs/whole*constants.TermUsed
}

// out says that nothing more may be decided under this term. Some numbers are left
// for what a step that has begun still decides.
func (n *numbers) out() bool {
	const step = 256 // far more than a part of the last sixteenth
	return n.attempts >= n.mostAttempts-n.mostAttempts/step || n.epochs >= n.mostEpochs-n.mostEpochs/step
}

// TermNumbersLow says that the owner should be given a new term before this one's numbers
// run out.
func (o *ownership) TermNumbersLow() bool { return o.numbers.low() }

// LimitTermNumbers has the numbers of the term run out earlier, for tests.
func (o *ownership) LimitTermNumbers(attempts, epochs uint64) {
	o.numbers.mostAttempts, o.numbers.mostEpochs = attempts, epochs
}
