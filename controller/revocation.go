package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/logkey"
	"ravenport/records"
)

// revokeFailedController revokes the first of the proposed controllers that can be
// revoked. It does nothing without authority, after this process has stopped renewing its
// lease because an actor is stalled, while another revocation is being written, or while a
// lease extension may be in force.
func (c *controlActor) revokeFailedController(ctx context.Context, now time.Time, proposals []detector.RevocationProposal) {
	if c.detection.revoking || c.detection.resigned || !c.hasAuthority(now) || c.isAcquisitionBlocked(now) {
		return
	}
	for _, p := range proposals {
		txn, ok := c.member.Revoke(records.Revocation{
			Controller:  p.Controller,
			Incarnation: p.Incarnation,
			Evidence:    evidenceNames(p.Evidence),
			Accusers:    p.Accusers,
		})
		if !ok {
			continue
		}
		slog.Warn("controller is revoked", logkey.Controller, p.Controller, "evidence", p.Evidence, "accusers", p.Accusers)
		c.detection.revoking = true
		go func() {
			_, err := c.dependencies.Unthrottled.Commit(ctx, txn)
			c.self.Tell(revocationDone{err})
		}()
		return
	}
}

// handleRevocationDone handles the result of writing a revocation. If the write failed and
// the evidence persists, the monitor proposes the revocation again.
func (c *controlActor) handleRevocationDone(m revocationDone) {
	c.detection.revoking = false
	if m.err != nil {
		slog.Info("writing a revocation failed", logkey.Err, m.err)
	}
}

// applyRevocation applies a stored revocation. If this process was revoked, it ends its
// lease and stops the leader and the owners that run under the lease.
func (c *controlActor) applyRevocation(now time.Time, r *records.Revocation) {
	if c.detection.monitor == nil {
		return
	}
	c.detection.monitor.Tell(revocationEvent(history.Event{
		At: now, Observer: r.RevokedBy, Controller: r.Controller, Incarnation: r.Incarnation,
		To: "revoked", Evidence: r.Evidence, Accusers: r.Accusers,
	}))
	isThisProcess := r.Controller == c.settings.Controller && r.Incarnation == c.lease.incarnation && c.lease.incarnation != 0
	if isThisProcess {
		slog.Warn("this process was revoked", "by", r.RevokedBy, "evidence", r.Evidence)
		c.endLease(c.latestAuthorityEnd().Add(constants.AuthorityMargin))
	}
}
