package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/leader"
	"ravenport/peer"
	"ravenport/records"
)

// peerView is what is known of another controller.
type peerView struct {
	storeReachable bool
	lastContact    time.Time // it was last heard: its own status, or an answer
	lastStatus     time.Time // its last own status, with the figures of its shards
}

func (c *controlActor) storeReachable(now time.Time) bool {
	return now.Sub(c.storeContactAt) < constants.StateSilence
}

// pushStatus tells the other controllers this one's aggregates: the leader soon after
// a change, everybody at an interval of its own. A busy shard's changes must not
// put that off: from it owners know that they are cut off, and users' counts.
func (c *controlActor) pushStatus(ctx context.Context, now time.Time) {
	ask := c.termsToExtend(now)
	due := now.Sub(c.lastFullPushAt) > constants.MaxPushInterval || len(ask) > 0 && now.Sub(c.lastFullPushAt) > constants.ExtensionRequestInterval
	if !due && !(c.pushPending && now.Sub(c.lastPushAt) >= constants.MinPushInterval) {
		return
	}
	c.lastPushAt, c.pushPending = now, false
	if due {
		c.lastFullPushAt = now
	}
	s := peer.Status{Controller: c.set.Controller, StoreReachable: c.storeReachable(now), Revision: c.revision, ExtensionRequest: ask, Counts: map[string]records.CountsByJob{}}
	for shard, st := range c.shardStatuses {
		s.Aggregates = append(s.Aggregates, st.aggregate)
		if due {
			s.Counts[shard] = st.counts
			if c.set.Draining != nil {
				s.Drains = append(s.Drains, st.drains)
			}
		}
	}
	for name, x := range c.misrouted {
		if now.Sub(x.receivedAt) > time.Duration(constants.MisroutedPeriods*float64(c.set.HeartbeatPeriod())) {
			delete(c.misrouted, name)
			continue
		}
		s.MisroutedHeartbeats = append(s.MisroutedHeartbeats, x.MisroutedHeartbeat)
	}
	lead, _ := c.member.Holder(records.KeyLeader)
	if c.leader != nil {
		s.Forecast = c.forecasts
	}
	for name, p := range c.dependencies.Peers {
		if c.pushInFlight[name] || !due && name != lead && len(s.Forecast) == 0 {
			continue
		}
		c.pushInFlight[name] = true
		go func() {
			r, err := p.PushStatus(ctx, s)
			c.self.Tell(peerStatusReply{name, now, len(s.ExtensionRequest) > 0, r, err})
		}()
	}
}

// forwardForecast hands owners here what the leader will assign to them.
func (c *controlActor) forwardForecast(f map[string]leader.Forecast) {
	for shard, x := range f {
		if o := c.owners[shard]; o != nil {
			o.ref.Tell(x)
		}
	}
}

// updateRelays tells the API server which controllers reach the state service, should
// this one be kept from it.
func (c *controlActor) updateRelays(now time.Time) {
	var to []apiserver.Relay
	for name, view := range c.peerViews {
		if p := c.dependencies.Peers[name]; p != nil && view.storeReachable && now.Sub(view.lastContact) < constants.StateSilence {
			to = append(to, p)
		}
	}
	c.api.Tell(apiserver.SetRelays{Relays: to})
}

func (c *controlActor) applyPeerStatus(now time.Time, s peer.Status) {
	c.forwardForecast(s.Forecast)
	c.peerViews[s.Controller] = peerView{s.StoreReachable, now, now}
	c.updateRelays(now)
	for _, a := range s.Aggregates {
		if o := c.owners[a.Shard]; o != nil && a.Term > o.term {
			// This one is cut off from the state service and has been replaced:
			// its machines must not be kept from the next owner by its lease extension.
			slog.Info("a sibling owns the shard under a later term", "shard", a.Shard, "term", o.term, "to", s.Controller)
			c.handedOver[records.KeyShard(a.Shard)] = o.term
			c.successors[a.Shard] = s.Controller
			c.stopOwner(a.Shard)
		}
		if c.leader != nil {
			c.leader.ref.Tell(a)
		}
	}
	// Whether every other live controller has been heard from lately: if so, a
	// machine that none of them has seen does not just miss its owner.
	all := true
	for _, p := range c.set.Peers {
		if c.member.IsAlive(p.Controller) && now.Sub(c.peerViews[p.Controller].lastContact) > constants.MaxPushInterval*2 {
			all = false
		}
	}
	for _, o := range c.owners {
		o.ref.Tell(s.Aggregates)
		o.ref.Tell(misroutedHeartbeats{s.MisroutedHeartbeats, all})
	}
	for _, v := range s.Drains {
		if c.owners[v.Shard] == nil {
			c.drainRecords.views[v.Shard] = v
		}
	}
	for shard, jobs := range s.Counts {
		if c.owners[shard] == nil {
			c.api.Tell(apiserver.ShardCounts{Shard: shard, ByJob: jobs})
		}
	}
}
