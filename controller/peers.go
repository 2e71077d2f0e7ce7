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
	stateOK bool
	at      time.Time // it was last heard: its own status, or an answer
	told    time.Time // its last own status, with the figures of its shards
}

func (c *control) stateOK(now time.Time) bool { return now.Sub(c.heardAt) < constants.StateSilence }

// push tells the other controllers this one's aggregates: the leader soon after
// a change, everybody at an interval of its own. A busy shard's changes must not
// put that off: from it owners know that they are cut off, and users' counts.
func (c *control) push(ctx context.Context, now time.Time) {
	ask := c.asks(now)
	due := now.Sub(c.pushAllAt) > constants.PushEvery || len(ask) > 0 && now.Sub(c.pushAllAt) > constants.ExtensionRequestInterval
	if !due && !(c.pushNow && now.Sub(c.pushAt) >= constants.PushGap) {
		return
	}
	c.pushAt, c.pushNow = now, false
	if due {
		c.pushAllAt = now
	}
	s := peer.Status{Controller: c.set.Controller, StoreReachable: c.stateOK(now), Revision: c.revision, ExtensionRequest: ask, Counts: map[string]records.CountsByJob{}}
	for shard, st := range c.status {
		s.Aggregates = append(s.Aggregates, st.aggregate)
		if due {
			s.Counts[shard] = st.counts
			if c.set.Draining != nil {
				s.Drains = append(s.Drains, st.drains)
			}
		}
	}
	for name, x := range c.misroutedReports {
		if now.Sub(x.at) > time.Duration(constants.MisroutedPeriods*float64(c.set.HeartbeatPeriod())) {
			delete(c.misroutedReports, name)
			continue
		}
		s.MisroutedHeartbeats = append(s.MisroutedHeartbeats, x.MisroutedHeartbeat)
	}
	lead, _ := c.member.Holder(records.KeyLeader)
	if c.leaderRef != nil {
		s.Forecast = c.forecast
	}
	for name, p := range c.io.Peers {
		if c.pushing[name] || !due && name != lead && len(s.Forecast) == 0 {
			continue
		}
		c.pushing[name] = true
		go func() {
			r, err := p.PushStatus(ctx, s)
			c.self.Tell(peerReply{name, now, len(s.ExtensionRequest) > 0, r, err})
		}()
	}
}

// forwardForecast hands owners here what the leader will assign to them.
func (c *control) forwardForecast(f map[string]leader.Forecast) {
	for shard, x := range f {
		if o := c.owners[shard]; o != nil {
			o.ref.Tell(x)
		}
	}
}

// tellRelays tells the API server which controllers reach the state service, should
// this one be kept from it.
func (c *control) tellRelays(now time.Time) {
	var to []apiserver.Relay
	for name, view := range c.peersState {
		if p := c.io.Peers[name]; p != nil && view.stateOK && now.Sub(view.at) < constants.StateSilence {
			to = append(to, p)
		}
	}
	c.api.Tell(apiserver.SetRelays{Relays: to})
}

func (c *control) peerStatus(now time.Time, s peer.Status) {
	c.forwardForecast(s.Forecast)
	c.peersState[s.Controller] = peerView{s.StoreReachable, now, now}
	c.tellRelays(now)
	for _, a := range s.Aggregates {
		if o := c.owners[a.Shard]; o != nil && a.Term > o.term {
			// This one is cut off from the state service and has been replaced:
			// its machines must not be kept from the next owner by its lease extension.
			slog.Info("a sibling owns the shard under a later term", "shard", a.Shard, "term", o.term, "to", s.Controller)
			c.yielded[records.KeyShard(a.Shard)] = o.term
			c.successor[a.Shard] = s.Controller
			c.stopOwner(a.Shard)
		}
		if c.leaderRef != nil {
			c.leaderRef.ref.Tell(a)
		}
	}
	// Whether every other live controller has been heard from lately: if so, a
	// machine that none of them has seen does not just miss its owner.
	all := true
	for _, p := range c.set.Peers {
		if c.member.IsAlive(p.Controller) && now.Sub(c.peersState[p.Controller].at) > constants.PushEvery*2 {
			all = false
		}
	}
	for _, o := range c.owners {
		o.ref.Tell(s.Aggregates)
		o.ref.Tell(misroutedReports{s.MisroutedHeartbeats, all})
	}
	for _, v := range s.Drains {
		if c.owners[v.Shard] == nil {
			c.drains.views[v.Shard] = v
		}
	}
	for shard, jobs := range s.Counts {
		if c.owners[shard] == nil {
			c.api.Tell(apiserver.ShardCounts{Shard: shard, ByJob: jobs})
		}
	}
}
