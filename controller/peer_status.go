package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/leader"
	"ravenport/logkey"
	"ravenport/peer"
	"ravenport/records"
)

// peerView is what is known of another controller.
type peerView struct {
	storeReachable bool      // as it said in its last status
	lastContact    time.Time // of its own status, or of an answer to this one's
	lastStatus     time.Time // of its own status, which has the figures of its shards
}

// reachesStore says whether the controller reached the key-value store a short while ago.
func (v peerView) reachesStore(now time.Time) bool {
	return v.storeReachable && now.Sub(v.lastContact) < constants.StoreSilenceTimeout
}

// pushState is when this controller's status was pushed to the others.
type pushState struct {
	lastAt     time.Time // to anybody
	lastFullAt time.Time // to everybody
	changed    bool      // figures have changed since
	inFlight   map[string]bool
}

// receivePeerMessage handles a message that comes from another controller, and returns
// whether it is one.
func (c *controlActor) receivePeerMessage(now time.Time, msg any) bool {
	switch m := msg.(type) {
	case peerStatusReceived:
		c.applyPeerStatus(now, peer.Status(m))
	case extensionRequest:
		c.applyPeerStatus(now, m.status)
		m.answer <- c.grantExtension(now, m.status)
	case peerStatusReply:
		c.handlePeerStatusReply(now, m)
	default:
		return false
	}
	return true
}

// pushStatus sends the other controllers this one's status: the leader soon after a
// change, everybody at a fixed interval. A busy shard's changes must not put the second
// off: by it owners learn that they are unreachable, and users' counts are kept current.
func (c *controlActor) pushStatus(ctx context.Context, now time.Time) {
	extend := c.termsToExtend(now)
	full := now.Sub(c.push.lastFullAt) > constants.MaxPushInterval ||
		len(extend) > 0 && now.Sub(c.push.lastFullAt) > constants.ExtensionRequestInterval
	changesDue := c.push.changed && now.Sub(c.push.lastAt) >= constants.MinPushInterval
	if !full && !changesDue {
		return
	}
	c.push.lastAt = now
	c.push.changed = false
	if full {
		c.push.lastFullAt = now
	}
	status := c.buildStatus(now, full)
	status.ExtensionRequest = extend
	leaderName, _ := c.member.Holder(records.KeyLeader)
	for name, p := range c.dependencies.Peers {
		wanted := full || name == leaderName || len(status.Forecast) > 0
		if c.push.inFlight[name] || !wanted {
			continue
		}
		c.push.inFlight[name] = true
		go func() {
			reply, err := p.PushStatus(ctx, status)
			c.self.Tell(peerStatusReply{name, now, len(status.ExtensionRequest) > 0, reply, err})
		}()
	}
}

// buildStatus makes this controller's status; counts of jobs and the progress of drains
// are in a full one alone.
func (c *controlActor) buildStatus(now time.Time, full bool) peer.Status {
	status := peer.Status{
		Controller:          c.settings.Controller,
		StoreReachable:      c.isStoreReachable(now),
		Revision:            c.feed.revision,
		Counts:              map[string]records.CountsByJob{},
		MisroutedHeartbeats: c.recentMisrouted(now),
	}
	for shard, s := range c.roles.shardStatuses {
		status.Aggregates = append(status.Aggregates, s.aggregate)
		if !full {
			continue
		}
		status.Counts[shard] = s.counts
		if c.settings.Draining != nil {
			status.Drains = append(status.Drains, s.drains)
		}
	}
	if c.roles.leader != nil {
		status.Forecast = c.roles.forecasts
	}
	return status
}

// handlePeerStatusReply handles the answer to a status of this controller's.
func (c *controlActor) handlePeerStatusReply(now time.Time, m peerStatusReply) {
	c.push.inFlight[m.controller] = false
	c.applyExtensionReply(m)
	if m.err != nil {
		return
	}
	// What it can reach, it says in its own status.
	view := c.peers[m.controller]
	view.lastContact = now
	c.peers[m.controller] = view
}

// applyPeerStatus takes over another controller's status.
func (c *controlActor) applyPeerStatus(now time.Time, status peer.Status) {
	c.forwardForecasts(status.Forecast)
	c.peers[status.Controller] = peerView{storeReachable: status.StoreReachable, lastContact: now, lastStatus: now}
	c.updateRelays(now)
	for _, aggregate := range status.Aggregates {
		c.stopReplacedOwner(aggregate, status.Controller)
		c.tellLeader(aggregate)
	}
	misrouted := misroutedHeartbeats{status.MisroutedHeartbeats, c.isInContactWithAllPeers(now)}
	for _, owner := range c.roles.owners {
		owner.ref.Tell(status.Aggregates)
		owner.ref.Tell(misrouted)
	}
	for _, drainStatus := range status.Drains {
		if c.roles.owners[drainStatus.Shard] == nil {
			c.drains.shardStatuses[drainStatus.Shard] = drainStatus
		}
	}
	for shard, jobs := range status.Counts {
		if c.roles.owners[shard] == nil {
			c.apiServer.Tell(apiserver.ShardCounts{Shard: shard, ByJob: jobs})
		}
	}
}

// stopReplacedOwner stops the owner of a shard here if another controller owns it under a
// later term: this one is cut off from the key-value store and has been replaced, and its
// lease extension must not keep machines from the next owner.
func (c *controlActor) stopReplacedOwner(aggregate leader.Aggregate, by string) {
	owner := c.roles.owners[aggregate.Shard]
	if owner == nil || aggregate.Term <= owner.term {
		return
	}
	slog.Info("another controller owns the shard under a later term", logkey.Shard, aggregate.Shard, logkey.Term, owner.term, logkey.Controller, by)
	c.terms.relinquished[records.KeyShard(aggregate.Shard)] = owner.term
	c.terms.successors[aggregate.Shard] = by
	c.stopOwner(aggregate.Shard)
}

// isInContactWithAllPeers says whether every other live controller made contact lately. If so,
// a machine that none of them has seen does not just miss its owner.
func (c *controlActor) isInContactWithAllPeers(now time.Time) bool {
	for _, p := range c.settings.Peers {
		sinceContact := now.Sub(c.peers[p.Controller].lastContact)
		if c.member.IsAlive(p.Controller) && sinceContact > constants.MaxPushInterval*2 {
			return false
		}
	}
	return true
}

// handleForecasts keeps the forecasts of the leader here and passes them on.
func (c *controlActor) handleForecasts(forecasts shardForecasts) {
	c.roles.forecasts = forecasts
	c.push.changed = c.push.changed || forecasts != nil
	c.forwardForecasts(forecasts)
}

// forwardForecasts passes the owners here what the leader will assign to them.
func (c *controlActor) forwardForecasts(forecasts map[string]leader.Forecast) {
	for shard, f := range forecasts {
		if owner := c.roles.owners[shard]; owner != nil {
			owner.ref.Tell(f)
		}
	}
}

// updateRelays tells the API server which controllers reach the key-value store, for the
// case that this one alone cannot.
func (c *controlActor) updateRelays(now time.Time) {
	var relays []apiserver.Relay
	for name, view := range c.peers {
		if p := c.dependencies.Peers[name]; p != nil && view.reachesStore(now) {
			relays = append(relays, p)
		}
	}
	c.apiServer.Tell(apiserver.SetRelays{Relays: relays})
}
