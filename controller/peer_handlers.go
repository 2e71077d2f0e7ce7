package controller

import (
	"context"
	"fmt"
	"time"

	"ravenport/constants"
	"ravenport/detector"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/wire"
)

// HandlePeerStatus passes another controller's status to the control actor. If the status
// requests a lease extension, the reply says whether this controller grants it.
func (c *Controller) HandlePeerStatus(s peer.Status) peer.StatusReply {
	if len(s.ExtensionRequest) == 0 {
		c.control.Tell(peerStatusReceived(s))
		return peer.StatusReply{Controller: c.name}
	}
	answer := make(chan peer.StatusReply, 1)
	c.control.Tell(extensionRequest{s, answer})
	timeout := time.NewTimer(constants.PeerTimeout)
	defer timeout.Stop()
	select {
	case reply := <-answer:
		return reply
	case <-timeout.C:
		return peer.StatusReply{Controller: c.name}
	}
}

// HandlePeerCommit commits a submission for another controller that cannot reach the
// key-value store. Any other transaction is refused as invalid.
func (c *Controller) HandlePeerCommit(ctx context.Context, txn wire.Txn) peer.CommitReply {
	if !records.CreatesJob(txn) {
		return peer.CommitReply{Outcome: peer.OutcomeInvalid}
	}
	ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
	defer cancel()
	return peer.NewCommitReply(c.store.Commit(ctx, txn))
}

// HandlePeerHeartbeat passes another controller's heartbeat to the monitor and returns
// this controller's heartbeat. The error says why the detector dropped the heartbeat, or
// is that of ctx.
func (c *Controller) HandlePeerHeartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	answer := make(chan peerHeartbeatAnswer, 1)
	c.monitor.Tell(peerHeartbeat{m, answer})
	select {
	case a := <-answer:
		return a.message, a.err
	case <-ctx.Done():
		return detector.Message{}, ctx.Err()
	}
}

// HandlePeerProbe answers a probe with this controller's heartbeat. If the request names
// another controller as its target, this controller probes the target and returns the
// target's reply. The error is detector.ErrUnknownController if the target is unknown.
func (c *Controller) HandlePeerProbe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error) {
	if target := c.monitorPeers[r.Target]; target != nil {
		return target.Probe(ctx, peer.ProbeRequest{Controller: c.name})
	}
	if r.Target != "" && r.Target != c.name {
		return peer.ProbeReply{}, fmt.Errorf("%w: %q", detector.ErrUnknownController, r.Target)
	}
	answer := make(chan detector.Heartbeat, 1)
	c.monitor.Tell(ownHeartbeatRequest{answer})
	select {
	case heartbeat := <-answer:
		return peer.ProbeReply{Heartbeat: &heartbeat}, nil
	case <-ctx.Done():
		return peer.ProbeReply{}, ctx.Err()
	}
}
