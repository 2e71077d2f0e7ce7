package actor

// Progress is how many messages an actor has handled, and how many wait or are being
// handled.
type Progress struct {
	Handled uint64
	Pending int
}

// Progress returns the actor's progress so far.
func (r *Ref) Progress() Progress {
	handled := r.handled.Load()
	return Progress{Handled: handled, Pending: int(r.told.Load() - handled)}
}
