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

// HandlePeerStatus takes over another controller's status, and answers whether the lease
// extension is granted that it may request.
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

// HandlePeerHeartbeat handles another controller's heartbeat and answers with this one's.
// The error is that of a heartbeat that the detector dropped, or of ctx.
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

// HandlePeerProbe answers with this controller's heartbeat, or with that of the controller
// that it is to probe in turn. The error is detector.ErrUnknownController if there is no
// such one.
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
