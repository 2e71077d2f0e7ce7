package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// terminationReason says in the log why a machine is terminated.
type terminationReason string

const (
	keepMachine                    terminationReason = ""
	reasonBootFailed               terminationReason = "boot failed"
	reasonDrained                  terminationReason = "drained"
	reasonIdle                     terminationReason = "idle"
	reasonUnreachable              terminationReason = "unreachable"
	reasonNotReceiving             terminationReason = "not receiving"
	reasonNoHeartbeats             terminationReason = "no heartbeats"
	reasonSpotReclaimed            terminationReason = "spot reclaimed"
	reasonUnreachableSinceFailover terminationReason = "unreachable since failover"
)

// scaleInCheck is what one check for machines to terminate knows of the fleet as a whole.
type scaleInCheck struct {
	health        fleetHealth
	up            int       // machines that are up
	confirmed     int       // those that are neither unreachable nor unconfirmed
	inherited     int       // machines of the durable inventory
	returned      int       // those that are up
	reachableFrom time.Time // since when the machines could have answered the owner
	idleAllowed   bool      // idle machines may be terminated: a few more are terminated together
}

// scaleIn terminates machines that are idle, drained or reclaimed, that did not boot, or
// that have failed: those that are unreachable, do not receive commands or send no
// heartbeats.
func (c *Core) scaleIn(now time.Time) {
	check := c.newScaleInCheck(now)
	var names []string
	for _, m := range c.fleet {
		if m.scalingIn || len(names) >= wire.MaxMachinesPerScaleIn {
			continue
		}
		reason := c.terminationReason(now, m, &check)
		if reason == keepMachine {
			continue
		}
		if reason == reasonBootFailed {
			c.draining.bootFailed(&c.fleetView, m)
		}
		slog.Info("terminating machine", logkey.Machine, m.name, "reason", string(reason), "spot", m.spot, "delisted", m.isDelisted(),
			"expected", check.health.expected, "confirmed", check.confirmed)
		m.scalingIn = true
		if c.cfg.CloseBeforeScaleIn || m.cordon != nil { // a drain may go on under another owner
			c.closeMachine(m)
			continue
		}
		names = append(names, m.name)
	}
	names = append(names, c.closedMachines(wire.MaxMachinesPerScaleIn-len(names))...)
	if len(names) > 0 {
		c.lastScaleInAt = now
		c.actions = append(c.actions, ScaleIn{names})
	}
}

// newScaleInCheck assesses the fleet and updates whether the shard is partitioned.
func (c *Core) newScaleInCheck(now time.Time) scaleInCheck {
	check := scaleInCheck{health: c.assessHealth(now), reachableFrom: c.acquiredAt}
	if c.livenessResetAt.After(check.reachableFrom) {
		check.reachableFrom = c.livenessResetAt
	}
	c.updatePartitioned(now, check.health)
	check.idleAllowed = now.Sub(c.lastScaleInAt) >= c.cfg.CloudCallInterval
	for _, m := range c.fleet {
		if m.scalingIn {
			continue
		}
		if m.durableAddr != "" {
			check.inherited++
			if m.up {
				check.returned++
			}
		}
		if m.up {
			check.up++
			if !c.isUnreachable(now, m) && !m.isUnconfirmed() {
				check.confirmed++
			}
		}
	}
	return check
}

// updatePartitioned records the begin or the end of a partition of the whole shard.
func (c *Core) updatePartitioned(now time.Time, health fleetHealth) {
	partitioned := c.detectPartition(now, health)
	if partitioned == c.partitioned {
		return
	}
	c.partitioned = partitioned
	c.needsPlacement, c.aggregateChanged = true, true
	if !partitioned {
		c.resetLiveness(now)
	}
	slog.Warn("shard partition changed", logkey.Shard, c.cfg.Shard, "partitioned", partitioned, "machines", health.expected)
}

// terminationReason says why a machine is to be terminated, or keepMachine. The first reason
// that holds counts.
func (c *Core) terminationReason(now time.Time, m *machine, check *scaleInCheck) terminationReason {
	mostConfirmed := check.health.receiving && check.confirmed*2 > check.up
	switch {
	case !m.up && !m.inherited && m.bootAge(now) > constants.MaxBootTimes:
		return reasonBootFailed
	case c.isDrained(m):
		return reasonDrained
	case check.idleAllowed && c.isIdle(now, m):
		return reasonIdle
	case m.up && c.isHeartbeatOverdue(now, m) && m.hasFailedProbes() && c.isIsolatedFailure(now, m, check.health):
		// Once it is terminated, its attempts have surely ended, long before its lease
		// expires.
		return reasonUnreachable
	case c.isNotReceiving(m) && (mostConfirmed || c.isNotReceivingInSmallShard(now, m, check.up, check.confirmed)):
		return reasonNotReceiving
	case m.up && c.sinceHeartbeat(now, m) > c.periods(constants.NoHeartbeatPeriods) && mostConfirmed:
		// It answers commands but sends no heartbeats: its lease expires all the same.
		return reasonNoHeartbeats
	case m.up && !m.reclaimAt.IsZero() && now.After(m.reclaimAt):
		return reasonSpotReclaimed // the cloud has taken it; the termination confirms that at once
	case m.inherited && !m.up && m.hasFailedProbes() && c.isIsolatedFailure(now, m, check.health) && c.failoverProbesExpired(now, check):
		return reasonUnreachableSinceFailover
	}
	return keepMachine
}

// isDrained reports whether a cordoned machine has no attempts left.
func (c *Core) isDrained(m *machine) bool {
	if m.cordon == nil || c.partitioned || c.isBusy(m) {
		return false
	}
	return m.up && m.hasSeenTerm(c.term) || !m.up && !m.inherited && !m.leaseExpired
}

// isIdle reports whether a machine has been idle for longer than the settings allow. None
// is terminated as idle in a partition.
func (c *Core) isIdle(now time.Time, m *machine) bool {
	if c.partitioned || m.reservedForGangs || !m.up || m.idleSince.IsZero() {
		return false
	}
	timeout := c.cfg.OnDemandIdleTimeout
	if m.spot {
		timeout = c.cfg.SpotIdleTimeout
	}
	return (m.consolidating || now.Sub(m.idleSince) > timeout) && !c.isBusy(m) && m.hasSeenTerm(c.term)
}

// hasFailedProbes reports whether a silent machine has left as many probes unanswered
// as prove that it has failed.
func (m *machine) hasFailedProbes() bool {
	return m.unansweredProbes >= constants.MaxUnansweredCommands
}

// isNotReceiving reports whether a machine sends heartbeats, here or to other controllers,
// but receives no commands: its lease expires whatever it sends, and heartbeats to others do
// not count for it. After a partition, what the first machines that are back left unanswered
// during it does not count.
func (l *liveness) isNotReceiving(m *machine) bool {
	return m.up && !l.partitioned && m.isUnconfirmed() &&
		m.unansweredUnconfirmed >= constants.MaxUnansweredCommands && m.reportedSinceUnconfirmed()
}

// failoverProbesExpired reports whether a new owner has waited long enough for an inherited
// machine: the tasks that may be on it wait. Once most machines are back, those that neither
// sent a heartbeat nor answered a probe will not be.
func (l *liveness) failoverProbesExpired(now time.Time, check *scaleInCheck) bool {
	waited := now.Sub(check.reachableFrom)
	return waited > l.periods(constants.FailoverUnreachablePeriods) ||
		check.returned*4 >= check.inherited*3 && waited > constants.FailoverProbeTimeout
}

// isNotReceivingInSmallShard reports whether an unconfirmed machine of a shard with one or two has
// failed by itself. Where two are both unconfirmed and send heartbeats to other controllers,
// it is more likely the owner that they cannot reach, which then gives up its term. What runs
// on them stays theirs until their leases have expired.
func (l *liveness) isNotReceivingInSmallShard(now time.Time, m *machine, up, confirmed int) bool {
	if up > 2 || !l.hasHeardPeers(now) {
		return false
	}
	return up == 1 || confirmed > 0 || now.Sub(m.unconfirmedSince) > l.leaseTimeout
}

// machineClosure is the progress of a machine's termination where machines are durably closed
// before they are terminated: see docs/safety.md, point 21.
type machineClosure struct {
	decided          bool // its page of the inventory is to mark it as terminating, for good
	durable          bool // its page durably does
	scaleInRequested bool // the cloud was asked to terminate it
}

// closeMachine has a machine's page mark it as terminating.
func (b *inventoryPages) closeMachine(m *machine) {
	m.closure.decided = true
	b.enroll(m)
}

// markClosed records that a durable page marks a machine as terminating. Whoever reads that
// goes on with the termination that an earlier owner decided.
func (p *placement) markClosed(m *machine) {
	m.closure.decided, m.closure.durable = true, true
	m.scalingIn = true
	p.needsPlacement = true
}

// closedMachines lists up to limit machines that are durably closed, and whose termination
// was not requested from the cloud yet.
func (k *knownState) closedMachines(limit int) []string {
	var names []string
	for _, m := range k.fleet {
		if len(names) >= limit {
			break
		}
		if m.closure.durable && !m.closure.scaleInRequested {
			m.closure.scaleInRequested = true
			names = append(names, m.name)
		}
	}
	return names
}

// ScaleInResult handles the cloud's confirmation that machines and everything on them have
// ended.
func (c *Core) ScaleInResult(now time.Time, names []string) {
	for _, name := range names {
		m := c.machines[name]
		if m == nil {
			continue
		}
		c.releaseAttempts(now, m)
		m.up, m.inherited = false, false
		m.scalingIn = true
		m.leaseExpiresAt = time.Time{}
		c.terminated[name] = now
		c.draining.machineDrained(m)
		if m.addr != "" {
			c.actions = append(c.actions, CloseConnection{m.addr})
		}
		c.removeFromInventory(m)
	}
	c.finishRebuild(now)
}
