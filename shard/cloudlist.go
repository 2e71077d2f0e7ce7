package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/wire"
)

// ApplyMachineList takes in the cloud's list, which lags: it brings unexpected machines
// to light and those that failed, and proves nothing else.
func (c *Core) ApplyMachineList(now time.Time, list []wire.CloudMachine) {
	for name, at := range c.terminated {
		if now.Sub(at) > constants.TerminatedMemory {
			delete(c.terminated, name)
		}
	}
	shown := make(map[string]bool, len(list))
	defer func() {
		for _, m := range c.fleet {
			if shown[m.name] {
				m.inCloudList, m.missedLists = true, 0
			} else if m.inCloudList || (m.inherited || m.leaseExpired) && now.Sub(m.requestedAt) > 3*c.cfg.CloudListLag {
				m.missedLists++
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
			if m == nil || !m.scalingIn {
				failed = append(failed, l.Name)
			}
			if m != nil {
				m.scalingIn = true
			}
			continue
		}
		if _, gone := c.terminated[l.Name]; gone {
			continue // the list lags: returned a moment ago
		}
		if m == nil && l.State == wire.MachineBooting && time.Duration(l.AgeS*float64(time.Second)) > 2*c.cfg.CloudListLag {
			m = c.ensureMachine(l.Name)
			m.typeName, m.spot = l.Type, l.Spot
			m.requestedAt = now.Add(-time.Duration(l.AgeS * float64(time.Second)))
			c.resolveType(m)
			slog.Info("unexpected machine found in the cloud's list", "machine", l.Name)
		}
	}
	for len(failed) > 0 {
		k := min(len(failed), wire.MaxMachinesPerScaleIn)
		c.actions = append(c.actions, ScaleIn{failed[:k]})
		failed = failed[k:]
	}
}

// isDelisted says that the cloud has stopped listing a machine: it was most likely
// taken back. That proves nothing, since a list may be old, but a silent machine
// that is listed all the same is more likely cut off.
func (m *machine) isDelisted() bool { return m.missedLists >= constants.DelistedAfterLists }
