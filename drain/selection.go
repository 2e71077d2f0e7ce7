// Package drain decides how machines are drained: which machines a drain selects, which of
// them are cordoned next, and when the drain has finished or is stopped. It also merges the
// shards' predictions of what a drain would do. The package does no I/O: callers pass in
// records, machines and the time, and get decisions. Package shard carries out the
// decisions, and package disruption decides which tasks may be stopped.
package drain

import (
	"fmt"
	"slices"

	"ravenport/constants"
	"ravenport/records"
)

// Machine holds the properties of a machine that selections match.
type Machine struct {
	Name, Zone, Type string
	Spot             bool
}

// FieldError reports which field of a request is invalid, and why.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Matches reports whether a selection selects a machine. An empty field of the selection
// matches all machines.
func Matches(s *records.Selection, m Machine) bool {
	return matchesName(s.Machines, m.Name) &&
		matchesName(s.Zones, m.Zone) &&
		matchesName(s.Types, m.Type) &&
		(s.Spot == nil || *s.Spot == m.Spot) &&
		(s.LastMachine == "" || m.Name <= s.LastMachine)
}

func matchesName(allowed []string, name string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, name)
}

// Inventory holds the zones, machine types, machines and running drains that a selection is
// validated against.
type Inventory struct {
	Zones         []string // all zones of the deployment
	Types         []string // machine types of the cloud
	Machines      []Machine
	RunningDrains []*records.Drain
}

// Select lists the machines that a selection selects.
func (inv *Inventory) Select(s *records.Selection) []Machine {
	var selected []Machine
	for _, m := range inv.Machines {
		if Matches(s, m) {
			selected = append(selected, m)
		}
	}
	return selected
}

// Validate returns the first reason why a selection cannot be drained, or nil.
func (inv *Inventory) Validate(selection *records.Selection) *FieldError {
	for _, zone := range selection.Zones {
		if !slices.Contains(inv.Zones, zone) {
			return &FieldError{"zone", fmt.Sprintf("there is no zone %q", zone)}
		}
	}
	for _, machineType := range selection.Types {
		if !slices.Contains(inv.Types, machineType) {
			return &FieldError{"type", fmt.Sprintf("the cloud has no machine type %q", machineType)}
		}
	}
	if len(selection.Machines) > constants.MaxDrainMachineNames {
		return &FieldError{"machine", fmt.Sprintf("names %d machines; at most %d can be named, select by zone, type or age instead", len(selection.Machines), constants.MaxDrainMachineNames)}
	}
	for _, name := range selection.Machines {
		if !inv.hasMachine(name) {
			return &FieldError{"machine", fmt.Sprintf("no machine %q is in the inventory", name)}
		}
	}
	selected := inv.Select(selection)
	if len(selected) == 0 {
		return &FieldError{"selection", "takes in no machine"}
	}
	return inv.findOverlap(selected)
}

func (inv *Inventory) hasMachine(name string) bool {
	return slices.ContainsFunc(inv.Machines, func(m Machine) bool { return m.Name == name })
}

// findOverlap returns an error if a running drain selects one of the machines.
func (inv *Inventory) findOverlap(selected []Machine) *FieldError {
	for _, d := range inv.RunningDrains {
		for _, m := range selected {
			if Matches(&d.Selection, m) {
				return &FieldError{"selection", fmt.Sprintf("overlaps drain %d: both take in %s", d.Number, m.Name)}
			}
		}
	}
	return nil
}

// SelectedZones lists the zones whose machines a selection may select. all are the zones of
// the deployment, and the result has the same order.
func SelectedZones(s *records.Selection, all []string) []string {
	var selected []string
	for _, zone := range all {
		if matchesName(s.Zones, zone) {
			selected = append(selected, zone)
		}
	}
	return selected
}
