package shard

import (
	"log/slog"
	"time"

	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// ApplyMachineList applies the cloud's list of machines. The list lags behind the cloud: it
// shows machines that the owner does not know and machines that have failed, and proves
// nothing else.
func (c *Core) ApplyMachineList(now time.Time, list []wire.CloudMachine) {
	c.forgetTerminated(now)
	listed := make(map[string]bool, len(list))
	var failed []string
	for i := range list {
		entry := &list[i]
		if entry.Zone != c.cfg.Shard {
			continue
		}
		listed[entry.Name] = true
		m := c.machines[entry.Name]
		if entry.State == wire.MachineFailed {
			if m == nil || !m.scalingIn {
				failed = append(failed, entry.Name)
			}
			if m != nil {
				m.scalingIn = true
			}
			continue
		}
		if c.isTerminated(entry.Name) {
			continue // the list lags: the machine was terminated recently
		}
		if m == nil {
			c.adoptListedMachine(now, entry)
		}
	}
	for len(failed) > 0 {
		n := min(len(failed), wire.MaxMachinesPerScaleIn)
		c.actions = append(c.actions, ScaleIn{failed[:n]})
		failed = failed[n:]
	}
	c.countMissedLists(now, listed)
}

// forgetTerminated deletes the termination times of machines that were terminated more than
// constants.TerminatedMachineRetention ago and have left the inventory. While the inventory
// cannot be written, terminated machines stay known, and their late messages must be ignored.
func (v *fleetView) forgetTerminated(now time.Time) {
	for name, at := range v.terminated {
		if now.Sub(at) > constants.TerminatedMachineRetention && v.machines[name] == nil {
			delete(v.terminated, name)
		}
	}
}

// adoptListedMachine adds an unknown machine that has been booting for longer than the list
// lags. The reply to the request for such a machine was lost.
func (c *Core) adoptListedMachine(now time.Time, entry *wire.CloudMachine) {
	age := time.Duration(entry.AgeS * float64(time.Second))
	if entry.State != wire.MachineBooting || age <= 2*c.cfg.CloudListLag {
		return
	}
	m := c.ensureMachine(entry.Name)
	m.typeName, m.spot = entry.Type, entry.Spot
	m.requestedAt = now.Add(-age)
	c.resolveType(m)
	slog.Info("unknown machine found in the cloud's list", logkey.Machine, entry.Name)
}

// countMissedLists counts for each machine the consecutive lists that did not contain the
// machine.
func (v *fleetView) countMissedLists(now time.Time, listed map[string]bool) {
	for _, m := range v.fleet {
		if listed[m.name] {
			m.inCloudList, m.missedLists = true, 0
		} else if m.inCloudList || (m.inherited || m.leaseExpired) && now.Sub(m.requestedAt) > 3*v.cfg.CloudListLag {
			m.missedLists++
		}
	}
}

// isDelisted reports whether the cloud has stopped listing a machine, which was most likely
// terminated. This is not proof, because a list may be outdated. An unreachable machine
// that is still listed is more likely partitioned.
func (m *machine) isDelisted() bool { return m.missedLists >= constants.DelistedAfterLists }
