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

// heartbeatState holds what the control actor records about the heartbeats that it routes.
type heartbeatState struct {
	misrouted          map[string]misroutedHeartbeat // by machine: the latest one
	zoneMismatchLogged map[string]bool               // machines whose wrong zone was logged
}

// misroutedHeartbeat is a heartbeat that reached this controller although the owner of the
// machine's shard does not run on this controller.
type misroutedHeartbeat struct {
	shard.MisroutedHeartbeat
	receivedAt time.Time
}

// routeHeartbeat passes a worker's heartbeat to the owner of the worker's shard, or
// redirects the worker to the controller that owns the shard.
func (c *controlActor) routeHeartbeat(now time.Time, m workerHeartbeat) {
	zone := m.heartbeat.Zone
	if known, ok := c.feed.shardByMachine[m.heartbeat.Machine]; ok && known != zone {
		// A machine never moves to another shard, because two owners must not send
		// commands to the same machine.
		c.logZoneMismatch(m.heartbeat, known)
		refuseHeartbeat(m)
		return
	}
	if owner := c.roles.owners[zone]; owner != nil {
		owner.ref.Tell(m)
		return
	}
	if _, known := c.settings.Deployment.ZoneIndex(zone); known {
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

// logZoneMismatch logs once for each machine that its heartbeat names a zone other than
// that of the machine's shard.
func (c *controlActor) logZoneMismatch(h *wire.Heartbeat, known string) {
	if c.heartbeats.zoneMismatchLogged[h.Machine] {
		return
	}
	c.heartbeats.zoneMismatchLogged[h.Machine] = true
	slog.Warn("heartbeat names a zone that is not the machine's", logkey.Machine, h.Machine, "zone", h.Zone, logkey.Shard, known)
}

// otherOwner returns the other controller that owns a zone's shard. It returns an empty
// string if this controller does not know the owner.
func (c *controlActor) otherOwner(zone string) string {
	holder, alive := c.member.Holder(records.KeyShard(zone))
	if alive && holder != c.settings.Controller {
		return holder
	}
	return c.terms.successors[zone]
}

// redirectHeartbeat answers a heartbeat with a redirect to another controller. The owner's
// name is empty if it is not known.
func redirectHeartbeat(m workerHeartbeat, owner string) {
	body, err := json.Marshal(wire.Redirect{Controller: owner})
	if err != nil {
		slog.Error("cannot encode response", logkey.Err, err)
	}
	m.req.Respond(&httpwire.Response{Status: 421, Body: body})
}

// refuseHeartbeat answers a heartbeat that no actor on this controller may process now.
func refuseHeartbeat(m workerHeartbeat) {
	m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"error":"not entitled"}`), RetryAfterS: constants.RetryAfterS})
}

// misroutedWindow returns how long a misrouted heartbeat is taken into account.
func (c *controlActor) misroutedWindow() time.Duration {
	return time.Duration(constants.MisroutedHeartbeatPeriods * float64(c.settings.HeartbeatPeriod()))
}

// recentMisrouted returns the misrouted heartbeats within the window, and discards the
// others.
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
