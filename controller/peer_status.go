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

// peerView is this controller's knowledge of another controller.
type peerView struct {
	storeReachable bool      // according to the controller's last status
	lastContact    time.Time // when its last status arrived, or its last reply to a status of this controller
	lastStatus     time.Time // when its last status arrived, which has the aggregates of its shards
}

// reachesStore reports whether the controller could reach the key-value store, according
// to its last status, and was in contact within StoreContactTimeout.
func (v peerView) reachesStore(now time.Time) bool {
	return v.storeReachable && now.Sub(v.lastContact) < constants.StoreContactTimeout
}

// pushState is the state of the pushes of this controller's status to the others.
type pushState struct {
	lastAt     time.Time       // last push to any controller
	lastFullAt time.Time       // last push to all controllers
	changed    bool            // the status has changed since the last push
	inFlight   map[string]bool // whether a push is in flight, by controller
}

// receivePeerMessage handles msg if it comes from another controller, and returns whether
// it does.
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

// pushStatus sends this controller's status to the other controllers: to the leader soon
// after a change, and to all of them at a fixed interval. A status with forecasts goes to
// all of them as well. The changes of a busy shard must not delay the push at the fixed
// interval: owners learn from that push that they are unreachable, and the push keeps the
// counts in responses to users current.
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

// buildStatus returns this controller's status. Only a full status has the counts of jobs
// and the progress of drains.
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

// handlePeerStatusReply handles another controller's reply to this controller's status.
func (c *controlActor) handlePeerStatusReply(now time.Time, m peerStatusReply) {
	c.push.inFlight[m.controller] = false
	c.applyExtensionReply(m)
	if m.err != nil {
		return
	}
	// The reply shows contact only; storeReachable comes from the controller's own status.
	view := c.peers[m.controller]
	view.lastContact = now
	c.peers[m.controller] = view
}

// applyPeerStatus stores another controller's status and passes its parts to the leader,
// the shard owners and the API server in this process.
func (c *controlActor) applyPeerStatus(now time.Time, status peer.Status) {
	c.forwardForecasts(status.Forecast)
	c.peers[status.Controller] = peerView{storeReachable: status.StoreReachable, lastContact: now, lastStatus: now}
	c.updateRelays(now)
	for _, aggregate := range status.Aggregates {
		c.stopReplacedOwner(aggregate, status.Controller)
		c.tellLeader(aggregate)
	}
	misrouted := peerMisroutedHeartbeats{status.MisroutedHeartbeats, c.isInContactWithAllPeers(now)}
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

// stopReplacedOwner stops a shard's owner in this process if another controller owns the
// shard under a later term. The owner in this process is cut off from the key-value
// store and has been replaced: its lease extension must not keep machines from the next
// owner.
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

// isInContactWithAllPeers reports whether every other live controller was in contact
// within twice MaxPushInterval. If so, a machine whose heartbeats none of them reports is not
// merely cut off from its owner.
func (c *controlActor) isInContactWithAllPeers(now time.Time) bool {
	for _, p := range c.settings.Peers {
		sinceContact := now.Sub(c.peers[p.Controller].lastContact)
		if c.member.IsAlive(p.Controller) && sinceContact > constants.MaxPushInterval*2 {
			return false
		}
	}
	return true
}

// handleForecasts stores the forecasts of the leader in this process and passes them on to
// the owners in this process. The next push of the status sends them to the other
// controllers.
func (c *controlActor) handleForecasts(forecasts shardForecasts) {
	c.roles.forecasts = forecasts
	c.push.changed = c.push.changed || forecasts != nil
	c.forwardForecasts(forecasts)
}

// forwardForecasts sends the shard owners in this process the leader's forecasts for them.
func (c *controlActor) forwardForecasts(forecasts map[string]leader.Forecast) {
	for shard, f := range forecasts {
		if owner := c.roles.owners[shard]; owner != nil {
			owner.ref.Tell(f)
		}
	}
}

// updateRelays tells the API server which other controllers reach the key-value store. The
// API server uses them as relays while this controller cannot reach the store.
func (c *controlActor) updateRelays(now time.Time) {
	var relays []apiserver.Relay
	for name, view := range c.peers {
		if p := c.dependencies.Peers[name]; p != nil && view.reachesStore(now) {
			relays = append(relays, p)
		}
	}
	c.apiServer.Tell(apiserver.SetRelays{Relays: relays})
}
