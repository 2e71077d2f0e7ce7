package shard

import (
	"log/slog"
	"time"

	"ravenport/drain"
	"ravenport/logkey"
	"ravenport/records"
)

// cordon marks a machine that gets no new tasks because a drain has chosen the machine.
type cordon struct {
	drain int // number of the drain
	since time.Time
}

// isCordonedBy reports whether the drain with the given number has cordoned a machine.
func (m *machine) isCordonedBy(number int) bool { return m.cordon != nil && m.cordon.drain == number }

// cordonMachines cordons the machines that a drain chooses next among its selected machines.
func (c *Core) cordonMachines(now time.Time, number int, s *drain.ShardDrain, selected []*machine) {
	byName := make(map[string]*machine, len(selected))
	candidates := make([]drain.Candidate, 0, len(selected))
	for _, m := range selected {
		byName[m.name] = m
		usage := c.usageOf(m)
		candidates = append(candidates, drain.Candidate{
			Name:       m.name,
			IsCordoned: m.cordon != nil || m.scalingIn,
			Services:   usage.services,
			UsedCPUs:   usage.used.cpus,
		})
	}
	for _, name := range s.ChooseMachines(now, candidates, len(c.fleet)) {
		slog.Info("cordoning machine", logkey.Machine, name, "drain", number)
		byName[name].cordon = &cordon{number, now}
		c.aggregateChanged = true
	}
}

// uncordonMachines removes the cordons of drains that are no longer running.
func (c *Core) uncordonMachines() {
	for _, m := range c.fleet {
		if m.cordon == nil || c.draining.isRunning(m.cordon.drain) {
			continue
		}
		slog.Info("cordon is lifted", logkey.Machine, m.name, "drain", m.cordon.drain)
		m.cordon = nil
		c.needsPlacement = true
		c.aggregateChanged = true
	}
}

// selectableMachine returns the properties of a machine that a drain's selection can match.
func (o *ownership) selectableMachine(m *machine) drain.Machine {
	return drain.Machine{Name: m.name, Zone: o.cfg.Shard, Type: m.typeName, Spot: m.spot}
}

// selectedMachines lists the machines that match a drain's selection and are not being
// removed from the inventory.
func (v *fleetView) selectedMachines(s *records.Selection) []*machine {
	var out []*machine
	for _, m := range v.fleet {
		if !m.leavingInventory && drain.Matches(s, v.selectableMachine(m)) {
			out = append(out, m)
		}
	}
	return out
}
