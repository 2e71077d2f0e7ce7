package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// scaleIn returns machines that are idle, never came up, or are silent or
// deaf beyond hope.
func (c *Core) scaleIn(now time.Time) {
	var names []string
	heard, up := 0, 0
	inherited, back := 0, 0
	asked := c.acquiredAt // since when the machines could have come
	if c.livenessResetAt.After(asked) {
		asked = c.livenessResetAt
	}
	sum := c.assessHealth(now)
	if unreachable := c.detectPartition(now, sum); unreachable != c.partitioned {
		c.partitioned, c.needsPlacement, c.aggregateChanged = unreachable, true, true
		if !unreachable {
			c.resetLiveness(now)
		}
		slog.Warn("machines of the shard out of reach", "shard", c.cfg.Shard, "all", unreachable, "machines", sum.expected)
	}
	idleToo := now.Sub(c.lastScaleInAt) >= c.cfg.CloudCallInterval // a few more come together
	for _, m := range c.fleet {
		if m.durableAddr != "" && !m.scalingIn {
			inherited++
			if m.up {
				back++
			}
		}
		if m.up && !m.scalingIn {
			up++
			if !c.isUnreachable(now, m) && !m.isUnconfirmed() {
				heard++
			}
		}
	}
	for _, m := range c.fleet {
		if m.scalingIn || len(names) >= wire.MaxMachinesPerScaleIn {
			continue
		}
		why := ""
		idle := c.cfg.OnDemandIdleTimeout
		if m.spot {
			idle = c.cfg.SpotIdleTimeout
		}
		switch {
		case !m.up && !m.inherited && m.bootAge(now) > constants.MaxBootTimes:
			why = "did not come up"
			c.draining.bootFailed(&c.fleetView, m)
		case m.cordon != nil && !c.partitioned && !c.isBusy(m) && (m.up && m.hasSeenTerm(c.term) || !m.up && !m.inherited && !m.leaseExpired):
			why = "drained"
		case idleToo && !c.partitioned && !m.reservedForGangs && m.up && !m.idleSince.IsZero() && (m.consolidating || now.Sub(m.idleSince) > idle) && !c.isBusy(m) && m.hasSeenTerm(c.term):
			why = "idle"
		case m.up && (c.isUnreachable(now, m) && m.unansweredCommands > 0 || c.isHeartbeatOverdue(now, m) && m.unansweredCommands > 1) && c.isIsolatedFailure(now, m, sum):
			// Returning it makes what was on it surely gone, long before its
			// lease ends.
			why = "silent"
		case m.up && !c.partitioned && m.isUnconfirmed() && m.unansweredUnconfirmed >= constants.MaxUnansweredCommands && m.reportedSinceUnconfirmed() && (sum.receiving && heard*2 > up || c.isNotReceivingOfFew(now, m, up, heard)):
			// It reports, here or to others, and hears nothing: its lease
			// runs out whatever it says. Nobody's hearing of it counts. Of a
			// shard out of reach the first machines that are back are not deaf for
			// what they were asked before.
			why = "deaf"
		case m.up && c.sinceHeartbeat(now, m) > c.periods(constants.NoHeartbeatPeriods) && sum.receiving && heard*2 > up:
			// It answers but does not report: its lease ends all the same.
			why = "mute"
		case m.up && !m.reclaimAt.IsZero() && now.After(m.reclaimAt):
			why = "taken back" // it is gone; the return says so at once
		case m.inherited && !m.up && m.unansweredCommands > 1 && c.isIsolatedFailure(now, m, sum) &&
			(now.Sub(asked) > c.periods(constants.FailoverUnreachablePeriods) || back*4 >= inherited*3 && now.Sub(asked) > constants.FailoverProbeTimeout):
			// What is uncertain waits for it. Once most are back, those that
			// neither reported nor answered twice will not be.
			why = "silent since the takeover"
		}
		if why != "" {
			slog.Info("returning machine", "machine", m.name, "why", why, "spot", m.spot, "unlisted", m.isDelisted(), "known", sum.expected, "heard", heard)
			m.scalingIn = true
			if c.cfg.CloseBeforeScaleIn || m.cordon != nil { // a drain may go on under another owner
				c.closeMachine(m)
				continue
			}
			names = append(names, m.name)
		}
	}
	names = append(names, c.closedMachines(wire.MaxMachinesPerScaleIn-len(names))...)
	if len(names) > 0 {
		c.lastScaleInAt = now
		c.actions = append(c.actions, ScaleIn{names})
	}
}

// isNotReceivingOfFew says whether an unconfirmed machine of a shard with one or two is deaf by
// itself. Two that are both unconfirmed report to others: it is more likely the owner
// that they cannot reach, which then hands on. What runs there is theirs until their
// leases have ended.
func (l *liveness) isNotReceivingOfFew(now time.Time, m *machine, up, heard int) bool {
	if up > 2 || !l.hasHeardPeers(now) {
		return false
	}
	return up == 1 || heard > 0 || now.Sub(m.unconfirmedSince) > l.leaseDuration
}

// machineClosure is how far a machine has come on its way back to the cloud, where machines
// are closed before they are returned: see docs/safety.md, point 21.
type machineClosure struct {
	decided          bool // it is to be named as closed on its page, for good
	durable          bool // its page durably names it
	scaleInRequested bool // the cloud was asked to take it back
}

// closeMachine has a machine's page name it as closed.
func (b *inventoryPages) closeMachine(m *machine) {
	m.closure.decided = true
	b.enroll(m)
}

// markClosed takes in that a durable page names a machine as closed. Whoever reads it
// goes on with the return that an earlier owner decided.
func (p *placement) markClosed(m *machine) {
	m.closure.decided, m.closure.durable = true, true
	m.scalingIn = true
	p.needsPlacement = true
}

// closedMachines lists up to so many machines that are durably closed, and for whose
// return the cloud was not asked yet.
func (k *knownState) closedMachines(most int) []string {
	var names []string
	for _, m := range k.fleet {
		if len(names) >= most {
			break
		}
		if m.closure.durable && !m.closure.scaleInRequested {
			m.closure.scaleInRequested = true
			names = append(names, m.name)
		}
	}
	return names
}

// ScaleInResult takes in the cloud's word that machines and all on them are gone.
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
