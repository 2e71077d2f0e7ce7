package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// hearing is whom the owner hears.
type hearing struct {
	period        time.Duration        // between two reports of a machine
	leaseLasts    time.Duration        // after the last answer that could count
	began         time.Time            // when the owner could first have heard anybody
	rested        time.Time            // silences are counted from here at the earliest
	isUnreachable bool                 // its machines are out of reach all together
	siblingsAt    time.Time            // when all live controllers had been heard from
	gone          map[string]time.Time // machines returned lately
	censuses      pace                 // looks at which machines are to be returned
	returnedAt    time.Time            // when idle machines were last returned
}

// periods is a number of report periods.
func (hear *hearing) periods(n float64) time.Duration {
	return time.Duration(n * float64(hear.period))
}

// silent says that no report of a machine's own has come for so long that its
// lease may end, whether or not it answers when it is called.
func (hear *hearing) silent(now time.Time, m *machine) bool {
	return hear.silence(now, m) > hear.periods(constants.SilentPeriods)
}

// overdueReport says that a machine's report is later than any should be.
func (hear *hearing) overdueReport(now time.Time, m *machine) bool {
	return hear.silence(now, m) > hear.periods(constants.ProbePeriods)
}

// reportsOn says that an unconfirmed machine has reported since, here or to another
// controller: the report that raised the question may have been a late copy.
func (m *machine) reportsOn() bool {
	return m.heard.After(m.unconfirmedSince) || m.misroutedAt.After(m.unconfirmedSince)
}

// silence is for how long no report of a machine has come while it could have:
// what nobody could hear, or had not yet read, says nothing.
func (hear *hearing) silence(now time.Time, m *machine) time.Duration {
	if hear.rested.After(m.heard) {
		return now.Sub(hear.rested)
	}
	return now.Sub(m.heard)
}

// rest begins all silences anew: the owner stood still, or its machines were out
// of reach all together and come back one after the other.
func (v *fleetView) rest(now time.Time) {
	v.rested = now
	for _, m := range v.fleet {
		m.unanswered, m.unheeded = 0, 0
	}
}

// lapse forgets what was on machines whose lease has surely ended.
func (c *Core) lapse(now time.Time) {
	for _, m := range c.fleet {
		if m.leaseUntil.IsZero() || now.Before(m.leaseUntil) {
			continue
		}
		if len(m.holds) > 0 || m.inherited {
			slog.Info("machine's lease has ended", "machine", m.name, "tasks", len(m.holds))
		}
		c.releaseAll(now, m)
		if m.session > 0 {
			m.minSession = m.session + 1
		}
		if m.up || m.inherited {
			m.lapsed, m.rentedAt = true, now // it gets as long to come back as one that boots
		}
		m.inherited = false
		m.up = false
		m.leaseUntil = time.Time{}
		c.dirty = true
		c.checkRebuilt(now)
	}
}

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
		c.isUnreachable, c.dirty, c.pushDirty = unreachable, true, true
		if !unreachable {
			c.rest(now)
		}
		slog.Warn("machines of the shard out of reach", "shard", c.cfg.Shard, "all", unreachable, "machines", sum.known)
	}
	idleToo := now.Sub(c.returnedAt) >= c.cfg.CloudGap // a few more come together
	for _, m := range c.fleet {
		if m.inventoryAddr != "" && !m.returning {
			inherited++
			if m.up {
				back++
			}
		}
		if m.up && !m.returning {
			up++
			if !c.silent(now, m) && !m.unconfirmed() {
				heard++
			}
		}
	}
	for _, m := range c.fleet {
		if m.returning || len(names) >= wire.MaxScaleIn {
			continue
		}
		why := ""
		idle := c.cfg.IdleOnDemand
		if m.spot {
			idle = c.cfg.IdleSpot
		}
		switch {
		case !m.up && !m.inherited && m.bootAge(now) > constants.BootPatience:
			why = "did not come up"
			c.draining.bootFailed(&c.fleetView, m)
		case m.cordon != nil && !c.isUnreachable && !c.busy(m) && (m.up && m.verified(c.term) || !m.up && !m.inherited && !m.lapsed):
			why = "drained"
		case idleToo && !c.isUnreachable && !m.forGangs && m.up && !m.idleSince.IsZero() && (m.draining || now.Sub(m.idleSince) > idle) && !c.busy(m) && m.verified(c.term):
			why = "idle"
		case m.up && (c.silent(now, m) && m.unanswered > 0 || c.overdueReport(now, m) && m.unanswered > 1) && c.alone(now, m, sum):
			// Returning it makes what was on it surely gone, long before its
			// lease ends.
			why = "silent"
		case m.up && !c.isUnreachable && m.unconfirmed() && m.unheeded >= constants.DeafAsks && m.reportsOn() && (sum.hears && heard*2 > up || c.deafOfFew(now, m, up, heard)):
			// It reports, here or to others, and hears nothing: its lease
			// runs out whatever it says. Nobody's hearing of it counts. Of a
			// shard out of reach the first machines that are back are not deaf for
			// what they were asked before.
			why = "deaf"
		case m.up && c.silence(now, m) > c.periods(constants.MutePeriods) && sum.hears && heard*2 > up:
			// It answers but does not report: its lease ends all the same.
			why = "mute"
		case m.up && !m.notice.IsZero() && now.After(m.notice):
			why = "taken back" // it is gone; the return says so at once
		case m.inherited && !m.up && m.unanswered > 1 && c.alone(now, m, sum) &&
			(now.Sub(asked) > c.periods(constants.SilentAtTakeover) || back*4 >= inherited*3 && now.Sub(asked) > constants.TakeoverPatience):
			// What is uncertain waits for it. Once most are back, those that
			// neither reported nor answered twice will not be.
			why = "silent since the takeover"
		}
		if why != "" {
			slog.Info("returning machine", "machine", m.name, "why", why, "spot", m.spot, "unlisted", m.vanished(), "known", sum.known, "heard", heard)
			m.returning = true
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

// census is what the owner hears of its machines taken together.
type census struct {
	known int // machines that should report here
	up    int // those that have, in this term and session
	quiet int // those that have been silent
	seen  int // those that another controller has heard since
	few   bool
	none  bool // there are few, but more than two, and none is heard
	hears bool // enough reports have come lately
}

// census tells machines that fail by themselves from an owner that hears
// nobody. Right after a cut most machines were heard not long ago, so of many
// it is asked how many of the reports that were due in the last moment have
// come; of few, that would often be none.
func (v *fleetView) census(now time.Time) census {
	var s census
	recent, fresh := 0, 0
	for _, m := range v.fleet {
		if m.returning || m.vanished() || !m.up && !m.inherited && !m.lapsed {
			continue
		}
		s.known++
		if now.Sub(m.misroutedAt) < v.misroutedMemory() {
			s.seen++
		}
		if !m.up {
			continue
		}
		s.up++
		silence := now.Sub(m.heard)
		if silence < v.periods(constants.HearingPeriods) {
			recent++
		}
		// Until it shows a token of this term, what came of it may be a late copy.
		if silence <= v.periods(constants.ProbePeriods) && m.verified(v.term) {
			fresh++
		}
		if v.silent(now, m) {
			s.quiet++
		}
	}
	s.few = s.known < constants.FewMachines
	if s.few {
		s.hears = fresh*2 > s.known
		s.none = s.known > constants.FewTogether && fresh == 0
	} else {
		s.hears = recent*constants.HearingShare >= s.known
	}
	return s
}

// vanished says that the cloud has stopped listing a machine: it was most likely
// taken back. That proves nothing, since a list may be old, but a silent machine
// that is listed all the same is more likely cut off.
func (m *machine) vanished() bool { return m.missing >= constants.ListsMissing }

// alone says whether a silent machine is silent by itself: the owner hears
// others, or, where there are few, it has been silent for long enough to be
// heard by another controller, and all of those are heard and none was. Else it
// is the owner or the whole shard that is cut off: returning machines then would
// end everything that runs on them.
func (hear *hearing) alone(now time.Time, m *machine, s census) bool {
	if now.Sub(m.misroutedAt) < hear.misroutedMemory() {
		return false
	}
	if m.vanished() {
		return true
	}
	last := m.heard
	if last.Before(hear.began) {
		last = hear.began
	}
	elsewhere := hear.periods(constants.LateReport) + constants.NextController + 2*constants.PushEvery
	return s.hears || s.few && !s.none && hear.siblingsHeard(now) && now.Sub(last) > elsewhere
}

// siblingsHeard says whether all live controllers were heard from lately.
func (hear *hearing) siblingsHeard(now time.Time) bool {
	return now.Sub(hear.siblingsAt) < constants.PushEvery*2
}

// misroutedMemory is how long a report to another controller counts.
func (hear *hearing) misroutedMemory() time.Duration { return hear.periods(constants.MisroutedPeriods) }

// CutOff says whether the owner no longer hears its machines, and whether they
// have been reporting to other controllers: then it is the owner that they
// cannot reach. Of many machines it is enough that hardly any report comes and
// a fair share is heard elsewhere: their leases run out while one waits.
func (v *fleetView) CutOff(now time.Time) (silent, misroutedReports bool) {
	s := v.census(now)
	if s.few {
		return s.quiet*2 > s.known, s.seen*2 > s.known
	}
	if now.Sub(v.claimed) < v.periods(constants.LateReport) {
		return false, false // not all can have come yet
	}
	misroutedReports = s.seen*constants.HearingShare > s.known
	// Of machines that nobody ever heard it is not known whose fault it is.
	return !s.hears && (s.up > 0 || misroutedReports), misroutedReports
}

// Unreachable says whether the shard's machines as a whole count as out of reach.
func (hear *hearing) Unreachable() bool { return hear.isUnreachable }

// unreachable says that the shard's machines as a whole are out of reach. Then none are
// rented, which would be so as well, and the leader sends nothing here that may
// go elsewhere.
func (hear *hearing) unreachable(now time.Time, s census) bool {
	// Where all controllers had ended, a worker may come back to this one only
	// after it has tried the others and its next report is due.
	return (!s.few && !s.hears || s.none) && now.Sub(hear.began) > hear.periods(constants.LateReport)+constants.NextController &&
		now.Sub(hear.rested) > hear.periods(constants.LateReport)
}

// MisroutedHeartbeat is a report that a machine made to another controller.
type MisroutedHeartbeat struct {
	Machine string `json:"m"`
	Epoch   uint64 `json:"s"`
	Seq     uint64 `json:"q"`
}

// ApplyMisroutedHeartbeats takes in which machines reported to another controller. A report that
// is no newer than the machine's last one here may be a late copy and says
// nothing.
func (v *fleetView) ApplyMisroutedHeartbeats(now time.Time, list []MisroutedHeartbeat, all bool) {
	for _, s := range list {
		if m := v.machines[s.Machine]; m != nil && (s.Epoch > m.lastSession || s.Epoch == m.lastSession && s.Seq > m.lastSequence) {
			m.misroutedAt = now
		}
	}
	if all {
		v.siblingsAt = now
	}
}

// ScaleInResult takes in the cloud's word that machines and all on them are gone.
func (c *Core) ScaleInResult(now time.Time, names []string) {
	for _, name := range names {
		m := c.machines[name]
		if m == nil {
			continue
		}
		c.releaseAll(now, m)
		m.up, m.inherited = false, false
		m.returning = true
		m.leaseUntil = time.Time{}
		c.gone[name] = now
		c.draining.drained(m)
		if m.addr != "" {
			c.actions = append(c.actions, Gone{m.addr})
		}
		c.leaveInventory(m)
	}
	c.checkRebuilt(now)
}

// ApplyMachineList takes in the cloud's list, which lags: it brings unexpected machines
// to light and those that failed, and proves nothing else.
func (c *Core) ApplyMachineList(now time.Time, list []wire.CloudMachine) {
	for name, at := range c.gone {
		if now.Sub(at) > constants.GoneMemory {
			delete(c.gone, name)
		}
	}
	shown := make(map[string]bool, len(list))
	defer func() {
		for _, m := range c.fleet {
			if shown[m.name] {
				m.listed, m.missing = true, 0
			} else if m.listed || (m.inherited || m.lapsed) && now.Sub(m.rentedAt) > 3*c.cfg.ListLag {
				m.missing++
			}
		}
	}()
	var failed []string
	for i := range list {
		l := &list[i]
		if l.Zone != c.cfg.Shard {
			continue
		}
		shown[l.Name] = true
		m := c.machines[l.Name]
		if l.State == wire.MachineFailed {
			if m == nil || !m.returning {
				failed = append(failed, l.Name)
			}
			if m != nil {
				m.returning = true
			}
			continue
		}
		if _, gone := c.gone[l.Name]; gone {
			continue // the list lags: returned a moment ago
		}
		if m == nil && l.State == wire.MachineBooting && time.Duration(l.AgeS*float64(time.Second)) > 2*c.cfg.ListLag {
			m = c.machine(l.Name)
			m.typeName, m.spot = l.Type, l.Spot
			m.rentedAt = now.Add(-time.Duration(l.AgeS * float64(time.Second)))
			c.size(m)
			slog.Info("unexpected machine found in the cloud's list", "machine", l.Name)
		}
	}
	for len(failed) > 0 {
		k := min(len(failed), wire.MaxScaleIn)
		c.actions = append(c.actions, ScaleIn{failed[:k]})
		failed = failed[k:]
	}
}
