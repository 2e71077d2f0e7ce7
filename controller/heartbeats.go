package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/logkey"
	"ravenport/records"
	"ravenport/shard"
	"ravenport/wire"
)

// heartbeatState is what this actor remembers of heartbeats that it routed.
type heartbeatState struct {
	misrouted          map[string]misroutedHeartbeat // by machine: the latest one
	zoneMismatchLogged map[string]bool               // machines whose impossible zone was logged
}

// misroutedHeartbeat is a heartbeat that came here though another controller owns its
// machine's shard.
type misroutedHeartbeat struct {
	shard.MisroutedHeartbeat
	receivedAt time.Time
}

// routeHeartbeat passes a worker's heartbeat to the owner of its shard, or redirects the
// worker to the controller that owns it.
func (c *controlActor) routeHeartbeat(now time.Time, m workerHeartbeat) {
	zone := m.heartbeat.Zone
	if known, ok := c.feed.shardByMachine[m.heartbeat.Machine]; ok && known != zone {
		// A machine never changes shard: two owners must not command it.
		c.logZoneMismatch(m.heartbeat, known)
		refuseHeartbeat(m)
		return
	}
	if owner := c.roles.owners[zone]; owner != nil {
		owner.ref.Tell(m)
		return
	}
	if _, known := c.settings.Deployment.Zone(zone); known {
		c.heartbeats.misrouted[m.heartbeat.Machine] = misroutedHeartbeat{
			MisroutedHeartbeat: shard.MisroutedHeartbeat{Machine: m.heartbeat.Machine, Epoch: m.heartbeat.Epoch, Seq: m.heartbeat.Seq},
			receivedAt:         now,
		}
	}
	owner := c.otherOwner(zone)
	if owner != "" && c.detection.monitor != nil {
		c.detection.redirects.record(now, m.heartbeat.Machine, m.heartbeat.Epoch, m.heartbeat.Seq, owner)
	}
	redirectHeartbeat(m, owner)
}

// logZoneMismatch logs, once a machine, that it names a zone that is not its shard's.
func (c *controlActor) logZoneMismatch(h *wire.Heartbeat, known string) {
	if c.heartbeats.zoneMismatchLogged[h.Machine] {
		return
	}
	c.heartbeats.zoneMismatchLogged[h.Machine] = true
	slog.Warn("heartbeat names a zone that is not the machine's", logkey.Machine, h.Machine, "zone", h.Zone, logkey.Shard, known)
}

// otherOwner returns the other controller that owns a zone's shard, as far as it is
// known here; empty if it is not.
func (c *controlActor) otherOwner(zone string) string {
	holder, alive := c.member.Holder(records.KeyShard(zone))
	if alive && holder != c.settings.Controller {
		return holder
	}
	return c.terms.successors[zone]
}

// redirectHeartbeat sends a worker to another controller; an empty name means that the
// owner is not known.
func redirectHeartbeat(m workerHeartbeat, owner string) {
	body, err := json.Marshal(wire.Redirect{Controller: owner})
	if err != nil {
		slog.Error("cannot encode response", logkey.Err, err)
	}
	m.req.Respond(&httpwire.Response{Status: 421, Body: body})
}

// refuseHeartbeat tells a worker that nobody here may answer it now.
func refuseHeartbeat(m workerHeartbeat) {
	m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"error":"not entitled"}`), RetryAfterS: constants.RetryAfterS})
}

// misroutedWindow is how long a misrouted heartbeat counts.
func (c *controlActor) misroutedWindow() time.Duration {
	return time.Duration(constants.MisroutedHeartbeatPeriods * float64(c.settings.HeartbeatPeriod()))
}

// recentMisrouted lists the misrouted heartbeats that still count, and drops the others.
func (c *controlActor) recentMisrouted(now time.Time) []shard.MisroutedHeartbeat {
	var recent []shard.MisroutedHeartbeat
	window := c.misroutedWindow()
	for machine, h := range c.heartbeats.misrouted {
		if now.Sub(h.receivedAt) > window {
			delete(c.heartbeats.misrouted, machine)
			continue
		}
		recent = append(recent, h.MisroutedHeartbeat)
	}
	return recent
}
