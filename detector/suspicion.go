package detector

import (
	"slices"
	"time"
)

// StateChange is a change of a controller's state, with the evidence for it.
type StateChange struct {
	Controller  string
	Incarnation uint64
	From, To    State
	Evidence    []Evidence
	Accusers    []string // controllers with evidence of their own, including this controller if it has any
}

// RevocationProposal proposes to revoke a controller that was declared failed although
// its lease is valid.
type RevocationProposal struct {
	Controller  string
	Incarnation uint64
	Evidence    []Evidence
	Accusers    []string // controllers with evidence of their own, including this controller if it has any
}

// TakeStateChanges returns the state changes since the previous call.
func (d *Detector) TakeStateChanges() []StateChange {
	changes := d.stateChanges
	d.stateChanges = nil
	return changes
}

// Proposals lists the controllers that are declared failed although their lease is
// valid. A controller is omitted if accusers have withdrawn their evidence and the
// remaining accusers are no quorum.
func (d *Detector) Proposals(now time.Time) []RevocationProposal {
	var proposals []RevocationProposal
	for _, p := range d.peers {
		if p.state != Failed || p.leaseIncarnation == 0 || p.leaseIncarnation != p.incarnation() {
			continue
		}
		accusers := d.accusers(now, p)
		if !d.isQuorum(accusers) {
			continue
		}
		proposals = append(proposals, RevocationProposal{
			Controller:  p.name,
			Incarnation: p.incarnation(),
			Evidence:    p.evidence(),
			Accusers:    accusers.names,
		})
	}
	return proposals
}

// updateState sets a controller's state according to the current evidence, and records
// the change.
func (d *Detector) updateState(now time.Time, p *peer) {
	state, evidence := d.evaluate(now, p)
	if state == p.state {
		return
	}
	d.stateChanges = append(d.stateChanges, StateChange{
		Controller:  p.name,
		Incarnation: p.lastIncarnation(),
		From:        p.state,
		To:          state,
		Evidence:    evidence,
		Accusers:    d.accusers(now, p).names,
	})
	p.state = state
	p.suspectSince = time.Time{}
	if state == Suspect {
		p.suspectSince = now
	}
}

// evaluate returns the state that follows from the evidence against a controller, and
// that evidence.
func (d *Detector) evaluate(now time.Time, p *peer) (State, []Evidence) {
	if p.leaseIncarnation == 0 && p.leaseWasHeld {
		return Failed, []Evidence{LeaseLost}
	}
	if !p.isMonitored() {
		return Unmonitored, nil
	}
	evidence := p.evidence()
	if len(evidence) == 0 {
		return Alive, nil
	}
	if p.state == Failed || d.shouldDeclareFailed(now, p) {
		return Failed, evidence
	}
	return Suspect, evidence
}

// shouldDeclareFailed reports whether a suspect is to be declared failed although its
// lease is valid. The suspicion must have lasted for a heartbeat interval, this
// observer's evidence must be old enough, and a quorum must have evidence of its own.
func (d *Detector) shouldDeclareFailed(now time.Time, p *peer) bool {
	if p.state != Suspect || now.Sub(p.suspectSince) < d.config.HeartbeatInterval {
		return false
	}
	if now.Sub(p.evidenceSince()) < d.localHealth.scale(d.config.DeclareAfter) {
		return false
	}
	return d.isQuorum(d.accusers(now, p))
}

// accuserSet is the set of controllers that hold evidence of their own against an
// incarnation.
type accuserSet struct {
	names       []string // sorted
	isAboutWork bool     // some of their evidence shows that the controller does not do its work
}

// accusers collects the valid accusations against a controller's current incarnation,
// including this controller's own.
func (d *Detector) accusers(now time.Time, accused *peer) accuserSet {
	var found accuserSet
	if own := accused.ownAccusation(); len(own.Evidence) > 0 {
		found.names = append(found.names, d.config.Self)
		found.isAboutWork = own.isAboutWork()
	}
	for _, accuser := range d.peers {
		accusation, ok := accuser.accusations[accused.name]
		if !ok || accuser == accused || accusation.Incarnation != accused.incarnation() {
			continue
		}
		if now.Sub(accuser.accusationsReceivedAt) > d.suspicionTimeout(accuser) {
			continue
		}
		isRefuted := accusation.Refutation < accused.latest.Refutation && accusation.isRefutable()
		if isRefuted {
			continue
		}
		found.names = append(found.names, accuser.name)
		found.isAboutWork = found.isAboutWork || accusation.isAboutWork()
	}
	slices.Sort(found.names)
	return found
}

// isQuorum reports whether the accusers suffice to declare a controller failed. They
// must be a majority of all configured controllers, whether those are alive or not, and
// some of the evidence must be about the controller's work.
func (d *Detector) isQuorum(a accuserSet) bool {
	majority := len(d.config.Controllers)/2 + 1
	return a.isAboutWork && len(a.names) >= majority
}
