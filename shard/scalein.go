package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// giveBack returns machines that are idle, never came up, or are silent or
// deaf beyond hope.
func (c *Core) giveBack(now time.Time) {
	var names []string
	heard, up := 0, 0
	inherited, back := 0, 0
	asked := c.claimed // since when the machines could have come
	if c.rested.After(asked) {
		asked = c.rested
	}
	sum := c.census(now)
	if unreachable := c.unreachable(now, sum); unreachable != c.isUnreachable {
		c.isUnreachable, c.needsPlacement, c.pushDirty = unreachable, true, true
		if !unreachable {
			c.rest(now)
		}
		slog.Warn("machines of the shard out of reach", "shard", c.cfg.Shard, "all", unreachable, "machines", sum.known)
	}
	idleToo := now.Sub(c.returnedAt) >= c.cfg.CloudGap // a few more come together
	for _, m := range c.fleet {
		if m.durableAddr != "" && !m.scalingIn {
			inherited++
			if m.up {
				back++
			}
		}
		if m.up && !m.scalingIn {
			up++
			if !c.silent(now, m) && !m.isUnconfirmed() {
				heard++
			}
		}
	}
	for _, m := range c.fleet {
		if m.scalingIn || len(names) >= wire.MaxScaleIn {
			continue
		}
		why := ""
		idle := c.cfg.IdleOnDemand
		if m.spot {
			idle = c.cfg.IdleSpot
		}
		switch {
		case !m.up && !m.inherited && m.bootAge(now) > constants.MaxBootTimes:
			why = "did not come up"
			c.draining.bootFailed(&c.fleetView, m)
		case m.cordon != nil && !c.isUnreachable && !c.isBusy(m) && (m.up && m.hasSeenTerm(c.term) || !m.up && !m.inherited && !m.leaseExpired):
			why = "drained"
		case idleToo && !c.isUnreachable && !m.reservedForGangs && m.up && !m.idleSince.IsZero() && (m.consolidating || now.Sub(m.idleSince) > idle) && !c.isBusy(m) && m.hasSeenTerm(c.term):
			why = "idle"
		case m.up && (c.silent(now, m) && m.unansweredCommands > 0 || c.overdueReport(now, m) && m.unansweredCommands > 1) && c.alone(now, m, sum):
			// Returning it makes what was on it surely gone, long before its
			// lease ends.
			why = "silent"
		case m.up && !c.isUnreachable && m.isUnconfirmed() && m.unansweredUnconfirmed >= constants.DeafAsks && m.reportedSinceUnconfirmed() && (sum.hears && heard*2 > up || c.deafOfFew(now, m, up, heard)):
			// It reports, here or to others, and hears nothing: its lease
			// runs out whatever it says. Nobody's hearing of it counts. Of a
			// shard out of reach the first machines that are back are not deaf for
			// what they were asked before.
			why = "deaf"
		case m.up && c.silence(now, m) > c.periods(constants.MutePeriods) && sum.hears && heard*2 > up:
			// It answers but does not report: its lease ends all the same.
			why = "mute"
		case m.up && !m.reclaimAt.IsZero() && now.After(m.reclaimAt):
			why = "taken back" // it is gone; the return says so at once
		case m.inherited && !m.up && m.unansweredCommands > 1 && c.alone(now, m, sum) &&
			(now.Sub(asked) > c.periods(constants.SilentAtTakeover) || back*4 >= inherited*3 && now.Sub(asked) > constants.TakeoverPatience):
			// What is uncertain waits for it. Once most are back, those that
			// neither reported nor answered twice will not be.
			why = "silent since the takeover"
		}
		if why != "" {
			slog.Info("returning machine", "machine", m.name, "why", why, "spot", m.spot, "unlisted", m.isDelisted(), "known", sum.known, "heard", heard)
			m.scalingIn = true
			if c.cfg.CloseFirst || m.cordon != nil { // a drain may go on under another owner
				c.close(m)
				continue
			}
			names = append(names, m.name)
		}
	}
	names = append(names, c.closedToReturn(wire.MaxScaleIn-len(names))...)
	if len(names) > 0 {
		c.returnedAt = now
		c.actions = append(c.actions, ScaleIn{names})
	}
}

// deafOfFew says whether an unconfirmed machine of a shard with one or two is deaf by
// itself. Two that are both unconfirmed report to others: it is more likely the owner
// that they cannot reach, which then hands on. What runs there is theirs until their
// leases have ended.
func (hear *hearing) deafOfFew(now time.Time, m *machine, up, heard int) bool {
	if up > 2 || !hear.siblingsHeard(now) {
		return false
	}
	return up == 1 || heard > 0 || now.Sub(m.unconfirmedSince) > hear.leaseLasts
}

// closing is how far a machine has come on its way back to the cloud, where machines
// are closed before they are returned: see docs/safety.md, point 21.
type closing struct {
	decided bool // it is to be named as closed on its page, for good
	stored  bool // its page durably names it
	asked   bool // the cloud was asked to take it back
}

// close has a machine's page name it as closed.
func (b *pageBook) close(m *machine) {
	m.closure.decided = true
	b.enrol(m)
}

// noteClosed takes in that a durable page names a machine as closed. Whoever reads it
// goes on with the return that an earlier owner decided.
func (p *placement) noteClosed(m *machine) {
	m.closure.decided, m.closure.stored = true, true
	m.scalingIn = true
	p.needsPlacement = true
}

// closedToReturn lists up to so many machines that are durably closed, and for whose
// return the cloud was not asked yet.
func (k *knownState) closedToReturn(most int) []string {
	var names []string
	for _, m := range k.fleet {
		if len(names) >= most {
			break
		}
		if m.closure.stored && !m.closure.asked {
			m.closure.asked = true
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
		c.gone[name] = now
		c.draining.machineDrained(m)
		if m.addr != "" {
			c.actions = append(c.actions, Gone{m.addr})
		}
		c.leaveInventory(m)
	}
	c.checkRebuilt(now)
}
