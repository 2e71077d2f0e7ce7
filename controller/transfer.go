package controller

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/member"
	"ravenport/records"
)

// transferCutOffLeadership transfers the leadership if no other controller's status
// arrives here.
func (c *controlActor) transferCutOffLeadership(now time.Time) {
	settled := now.Sub(c.roles.leaderSince) > 2*constants.PeerContactTimeout
	if c.roles.leader != nil && settled && c.lacksPeerStatus(now) {
		c.transferUnusableTerm(now, records.KeyLeader)
	}
}

// transferUnreachableShard transfers a shard whose machines fell silent together, unless
// it may be the machines that are cut off.
func (c *controlActor) transferUnreachableShard(now time.Time, m shardUnreachable) {
	if c.roles.owners[m.shard] == nil {
		return
	}
	if m.heartbeatsMisrouted || c.areAllPeersSilent(now) {
		c.transferUnusableTerm(now, records.KeyShard(m.shard))
	}
}

// transferUnusableTerm transfers a term that this controller cannot make use of, because
// it is cut off from what that takes.
func (c *controlActor) transferUnusableTerm(now time.Time, key string) {
	acquisition, ok := c.member.TransferAway(now, key)
	if !ok || c.isAcquiring(now, key) || !c.hasAuthority(now) {
		return
	}
	slog.Warn("controller is cut off, transferring term", "key", key, logkey.Controller, acquisition.NewHolder)
	c.transferTerm(now, acquisition)
}

// renewTerm gives an owner here a new term before the numbers of its own run out. Like
// any transfer it begins with the owner's stop.
func (c *controlActor) renewTerm(now time.Time, shard string) {
	key := records.KeyShard(shard)
	owner := c.roles.owners[shard]
	if owner == nil || c.isAcquiring(now, key) || !c.hasAuthority(now) || c.isAcquisitionBlocked(now) {
		return // the owner asks again
	}
	slog.Info("numbers of the term are nearly used up, acquiring a new term", logkey.Shard, shard, logkey.Term, owner.term)
	c.transferTerm(now, c.member.AcquisitionFor(key, c.settings.Controller))
}

// transferTerm ends what this controller does under a term before another begins. The
// acquisition that transfers the term is written only once the actor has stopped:
// heartbeats that still wait in its mailbox must not be answered after the next owner has
// begun to count the workers' leases.
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

// detachRole removes the actor that runs here under key from the roles, without stopping
// it, and returns it; nil if there is none.
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
