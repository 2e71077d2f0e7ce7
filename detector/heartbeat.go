package detector

import (
	"fmt"
	"slices"
	"time"
)

// NextHeartbeat returns the next message to be sent to all other controllers, or in reply
// to one of them.
func (d *Detector) NextHeartbeat() Message {
	d.ownHeartbeat.Sequence++
	d.refutationPending = false
	m := Message{Controller: d.config.Self, Heartbeat: d.ownHeartbeat}
	for _, p := range d.peers {
		if accusation := p.ownAccusation(); len(accusation.Evidence) > 0 && accusation.Incarnation != 0 {
			m.Accusations = append(m.Accusations, accusation)
		}
	}
	return m
}

// IsRefutationPending reports whether the next heartbeat refutes a suspicion and should
// therefore be sent before the interval has passed.
func (d *Detector) IsRefutationPending() bool { return d.refutationPending }

// HandleMessage evaluates a message from another controller. Messages from unknown
// controllers and malformed messages are dropped with a *DroppedMessageError. Duplicates
// and late messages of an earlier incarnation are dropped without an error.
func (d *Detector) HandleMessage(now time.Time, m Message) error {
	_, err := d.handleMessage(now, m)
	return err
}

// HandleReply evaluates a reply to a message of this controller. Its errors are those of
// HandleMessage.
func (d *Detector) HandleReply(now time.Time, m Message) error {
	sender, err := d.handleMessage(now, m)
	if sender != nil {
		sender.markAnswered(now)
	}
	return err
}

// handleMessage evaluates a message. It returns the sender if the message was new, and
// otherwise nil.
func (d *Detector) handleMessage(now time.Time, message Message) (*peer, error) {
	sender := d.peer(message.Controller)
	if sender == nil {
		reason := fmt.Errorf("%w: %q", ErrUnknownController, message.Controller)
		return nil, &DroppedMessageError{Sender: message.Controller, Reason: reason}
	}
	if err := message.validate(len(d.config.Controllers)); err != nil {
		return nil, &DroppedMessageError{Sender: message.Controller, Reason: err}
	}
	if message.Heartbeat.Incarnation == 0 {
		return nil, nil // no other process depends on a sender without a lease
	}
	if !d.acceptHeartbeat(now, sender, message.Heartbeat) {
		return nil, nil
	}
	sender.accusations = map[string]Accusation{}
	sender.accusationsReceivedAt = now
	for _, accusation := range message.Accusations {
		sender.accusations[accusation.Controller] = accusation
		d.refuteIfAccused(accusation)
	}
	return sender, nil
}

// acceptHeartbeat evaluates a controller's heartbeat and reports whether it was new.
func (d *Detector) acceptHeartbeat(now time.Time, p *peer, h Heartbeat) bool {
	previous := p.latest.Incarnation
	if !p.accept(h) {
		return false
	}
	switch interval := now.Sub(p.lastHeartbeat); {
	case p.latest.Incarnation != previous:
		p.lastAnswer = now // the time without an answer starts at the incarnation's first heartbeat
	case interval <= d.config.SuspectMax:
		p.intervalStats.observe(interval)
	}
	p.markHeartbeatReceived(now)
	setSince(&p.stalledSince, now, len(h.Stalled) > 0)
	return true
}

// refuteIfAccused refutes an accusation that this process is unreachable.
func (d *Detector) refuteIfAccused(a Accusation) {
	if a.Controller != d.config.Self || a.Incarnation != d.ownHeartbeat.Incarnation {
		return
	}
	isRefuted := a.Refutation < d.ownHeartbeat.Refutation
	if isRefuted || !slices.Contains(a.Evidence, Unreachable) {
		return
	}
	d.ownHeartbeat.Refutation = a.Refutation + 1
	d.refutationPending = true
}
