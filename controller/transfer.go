package controller

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/member"
	"ravenport/records"
)

// transferCutOffLeadership transfers the leadership if this controller receives no status
// from any other controller.
func (c *controlActor) transferCutOffLeadership(now time.Time) {
	graceElapsed := now.Sub(c.roles.leaderSince) > 2*constants.PeerContactTimeout
	if c.roles.leader != nil && graceElapsed && c.lacksPeerStatus(now) {
		c.transferUnusableTerm(now, records.KeyLeader)
	}
}

// transferUnreachableShard transfers a shard whose machines became unreachable at the same
// time. It does so only if this controller appears to be cut off: other controllers
// receive the machines' heartbeats, or no other controller is in contact with this
// controller. Otherwise the machines themselves may be cut off.
func (c *controlActor) transferUnreachableShard(now time.Time, m shardUnreachable) {
	if c.roles.owners[m.shard] == nil {
		return
	}
	if m.heartbeatsMisrouted || c.lacksPeerContact(now) {
		c.transferUnusableTerm(now, records.KeyShard(m.shard))
	}
}

// transferUnusableTerm transfers a term that this controller holds but cannot use, because
// it is cut off from the machines or the controllers that the term concerns.
func (c *controlActor) transferUnusableTerm(now time.Time, key string) {
	acquisition, ok := c.member.TransferAway(now, key)
	if !ok || c.isAcquiring(now, key) || !c.hasAuthority(now) {
		return
	}
	slog.Warn("controller is cut off, transferring term", "key", key, logkey.Controller, acquisition.NewHolder)
	c.transferTerm(now, acquisition)
}

// renewTerm acquires a new term for an owner on this controller before the numbers of the
// current term are used up. Like every transfer, the renewal first stops the owner.
func (c *controlActor) renewTerm(now time.Time, shard string) {
	key := records.KeyShard(shard)
	owner := c.roles.owners[shard]
	if owner == nil || c.isAcquiring(now, key) || !c.hasAuthority(now) || c.isAcquisitionBlocked(now) {
		return // the owner repeats its request
	}
	slog.Info("numbers of the term are nearly used up, acquiring a new term", logkey.Shard, shard, logkey.Term, owner.term)
	c.transferTerm(now, c.member.AcquisitionFor(key, c.settings.Controller))
}

// transferTerm stops the actor that runs under a term before the next term begins. The
// acquisition that transfers the term is written only after the actor has stopped: the
// actor must not answer heartbeats that are still in its mailbox after the next owner has
// started to time the workers' leases.
func (c *controlActor) transferTerm(now time.Time, acquisition member.TermAcquisition) {
	term, _ := c.member.Term(acquisition.Key)
	c.terms.relinquished[acquisition.Key] = term.Number
	c.terms.acquiring[acquisition.Key] = now
	running := c.detachRole(acquisition.Key)
	if running == nil {
		c.self.Tell(actorStopped{acquisition})
		return
	}
	running.ref.Tell(stopRequest{stopped: func() {
		running.cancel()
		c.self.Tell(actorStopped{acquisition})
	}})
}

// detachRole removes the actor that runs on this controller under key from the roles,
// without stopping the actor, and returns it. It returns nil if there is no such actor.
func (c *controlActor) detachRole(key string) *runningActor {
	if key == records.KeyLeader {
		running := c.roles.leader
		c.roles.leader = nil
		return running
	}
	for _, shard := range c.settings.Deployment.Zones {
		owner := c.roles.owners[shard]
		if records.KeyShard(shard) != key || owner == nil {
			continue
		}
		delete(c.roles.owners, shard)
		delete(c.roles.shardStatuses, shard)
		return owner
	}
	return nil
}
