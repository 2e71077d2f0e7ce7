package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// terminationReason is the reason for a machine's termination, as it is logged.
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

// scaleInCheck holds the fleet-wide facts that one scale-in check uses for every machine.
type scaleInCheck struct {
	health        fleetHealth
	up            int       // machines that are up
	confirmed     int       // machines that are up and neither unreachable nor unconfirmed
	inherited     int       // machines in the durable inventory
	returned      int       // machines in the durable inventory that are up
	reachableFrom time.Time // earliest time at which the machines could have answered the owner
	idleAllowed   bool      // idle machines may be terminated; limited in rate, so that they are terminated in batches
}

// scaleIn terminates machines that are idle, drained or reclaimed, that did not boot, or
// that have failed. A machine has failed if it is unreachable, does not receive commands or
// sends no heartbeats.
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
		if c.cfg.CloseBeforeScaleIn || m.cordon != nil { // the next owner may have to continue the drain
			c.markTerminating(m)
			continue
		}
		names = append(names, m.name)
	}
	names = append(names, c.durablyTerminatingMachines(wire.MaxMachinesPerScaleIn-len(names))...)
	if len(names) > 0 {
		c.lastScaleInAt = now
		c.actions = append(c.actions, ScaleIn{names})
	}
}

// newScaleInCheck computes the fleet-wide facts for a scale-in check, and updates whether the
// shard is partitioned.
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

// updatePartitioned records the start or the end of a partition between the owner and the
// shard's machines as a whole.
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

// terminationReason returns why a machine is to be terminated, or keepMachine. If several
// reasons apply, it returns the first in the order below.
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
		// The termination proves that the machine's attempts have ended, long before its
		// lease would expire.
		return reasonUnreachable
	case c.isNotReceiving(m) && (mostConfirmed || c.isNotReceivingInSmallShard(now, m, check.up, check.confirmed)):
		return reasonNotReceiving
	case m.up && c.sinceHeartbeat(now, m) > c.periods(constants.NoHeartbeatPeriods) && mostConfirmed:
		// The machine answers commands but sends no heartbeats. Only heartbeats renew its
		// lease, so the lease will expire.
		return reasonNoHeartbeats
	case m.up && !m.reclaimAt.IsZero() && now.After(m.reclaimAt):
		return reasonSpotReclaimed // the cloud has reclaimed the machine; the termination confirms that immediately
	case m.inherited && !m.up && m.hasFailedProbes() && c.isIsolatedFailure(now, m, check.health) && c.failoverProbesExpired(now, check):
		return reasonUnreachableSinceFailover
	}
	return keepMachine
}

// isDrained reports whether a machine is cordoned and has no attempts left.
func (c *Core) isDrained(m *machine) bool {
	if m.cordon == nil || c.partitioned || c.isBusy(m) {
		return false
	}
	return m.up && m.hasSeenTerm(c.term) || !m.up && !m.inherited && !m.leaseExpired
}

// isIdle reports whether a machine is to be terminated as idle: it has been idle for longer
// than the settings allow, or it is being consolidated and has become idle. It returns false
// for machines that are reserved for gangs, and while the shard is partitioned.
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

// hasFailedProbes reports whether a machine has left so many probes unanswered that it
// counts as failed.
func (m *machine) hasFailedProbes() bool {
	return m.unansweredProbes >= constants.MaxUnansweredCommands
}

// isNotReceiving reports whether a machine sends heartbeats, to this owner or to other
// controllers, but receives no commands. The lease of such a machine expires whatever the
// machine sends; heartbeats to other controllers do not renew it. During a partition
// isNotReceiving returns false, and the end of a partition resets the counts of unanswered
// commands: commands that were lost in the partition do not count against the machines that
// are reachable first.
func (l *liveness) isNotReceiving(m *machine) bool {
	return m.up && !l.partitioned && m.isUnconfirmed() &&
		m.unansweredUnconfirmed >= constants.MaxUnansweredCommands && m.reportedSinceUnconfirmed()
}

// failoverProbesExpired reports whether a new owner has waited long enough for an inherited
// machine. The wait is limited because tasks that may run on the machine cannot be started
// elsewhere meanwhile. It is shorter once three quarters of the inherited machines are up: a
// machine that has neither sent a heartbeat nor answered a probe by then is assumed to have
// failed.
func (l *liveness) failoverProbesExpired(now time.Time, check *scaleInCheck) bool {
	waited := now.Sub(check.reachableFrom)
	return waited > l.periods(constants.FailoverUnreachablePeriods) ||
		check.returned*4 >= check.inherited*3 && waited > constants.FailoverProbeTimeout
}

// isNotReceivingInSmallShard reports whether an unconfirmed machine in a shard with one or
// two machines has failed individually. If both of two machines are unconfirmed and send
// heartbeats to other controllers, the owner is more likely to be the unreachable side, and
// the owner then transfers its term. In that case the machines are not terminated before a
// lease timeout has passed, so their attempts keep running until their leases have expired.
func (l *liveness) isNotReceivingInSmallShard(now time.Time, m *machine, up, confirmed int) bool {
	if up > 2 || !l.hasRecentPeerReports(now) {
		return false
	}
	return up == 1 || confirmed > 0 || now.Sub(m.unconfirmedSince) > l.leaseTimeout
}

// terminationMark is the progress of a termination for which the machine is durably marked as
// terminating before the cloud is asked to terminate it: see docs/safety.md, point 21.
type terminationMark struct {
	decided          bool // the machine's inventory page is to mark it as terminating; never revoked
	durable          bool // the stored inventory page marks the machine as terminating
	scaleInRequested bool // the cloud was asked to terminate the machine
}

// markTerminating requests that the machine's inventory page marks the machine as
// terminating.
func (b *inventoryPages) markTerminating(m *machine) {
	m.terminationMark.decided = true
	b.addToInventory(m)
}

// markDurablyTerminating records that a stored inventory page marks a machine as terminating.
// An owner that reads such a page continues the termination that an earlier owner decided.
func (p *placement) markDurablyTerminating(m *machine) {
	m.terminationMark.decided, m.terminationMark.durable = true, true
	m.scalingIn = true
	p.needsPlacement = true
}

// durablyTerminatingMachines lists up to limit machines that are durably marked as terminating
// and whose termination has not been requested from the cloud, and records that it is
// requested now.
func (k *knownState) durablyTerminatingMachines(limit int) []string {
	var names []string
	for _, m := range k.fleet {
		if len(names) >= limit {
			break
		}
		if m.terminationMark.durable && !m.terminationMark.scaleInRequested {
			m.terminationMark.scaleInRequested = true
			names = append(names, m.name)
		}
	}
	return names
}

// ScaleInResult handles the cloud's confirmation that machines were terminated, and with them
// all their attempts.
func (c *Core) ScaleInResult(now time.Time, names []string) {
	for _, name := range names {
		c.terminated[name] = now
		m := c.machines[name]
		if m == nil {
			continue // known from the cloud's list alone, or removed already
		}
		c.releaseAttempts(now, m)
		m.up, m.inherited = false, false
		m.scalingIn = true
		m.leaseExpiresAt = time.Time{}
		c.draining.machineDrained(m)
		if m.addr != "" {
			c.actions = append(c.actions, CloseConnection{m.addr})
		}
		c.removeFromInventory(m)
	}
	c.finishRebuild(now)
}
