package actor

// Progress counts an actor's messages.
type Progress struct {
	Handled uint64 // over the actor's lifetime
	Pending int    // in the mailbox or being handled
}

// Progress returns the actor's progress so far.
func (r *Ref) Progress() Progress {
	handled := r.handled.Load()
	return Progress{Handled: handled, Pending: int(r.sent.Load() - handled)}
}
