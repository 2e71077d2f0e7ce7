package shard

// closing is how far a machine has come on its way back to the cloud, where machines
// are closed before they are returned: see docs/safety.md, point 21.
type closing struct {
	decided bool // it is to be named as closed on its page, for good
	stored  bool // its page durably names it
	asked   bool // the cloud was asked to take it back
}

// close has a machine's page name it as closed.
func (b *pageBook) close(m *machine) {
	m.closing.decided = true
	b.enrol(m)
}

// noteClosed takes in that a durable page names a machine as closed. Whoever reads it
// goes on with the return that an earlier owner decided.
func (p *placement) noteClosed(m *machine) {
	m.closing.decided, m.closing.stored = true, true
	m.returning = true
	p.dirty = true
}

// closedToReturn lists up to so many machines that are durably closed, and for whose
// return the cloud was not asked yet.
func (k *knowledge) closedToReturn(most int) []string {
	var names []string
	for _, m := range k.fleet {
		if len(names) >= most {
			break
		}
		if m.closing.stored && !m.closing.asked {
			m.closing.asked = true
			names = append(names, m.name)
		}
	}
	return names
}
