// Package drain decides in which steps machines are drained: which machines a drain
// takes in, which of them are emptied next, when it has succeeded, failed or ended, and
// what a plan can say beforehand. It is pure: records, machines and time in, decisions
// out. Package shard carries them out, package disruption says what may be stopped.
package drain

import (
	"fmt"
	"slices"

	"ravenport/constants"
	"ravenport/records"
)

// Machine is what a selection looks at.
type Machine struct {
	Name, Zone, Type string
	Spot             bool
}

// FieldError says what is wrong with a request.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Matches says whether a selection takes a machine in.
func Matches(s *records.Selection, m Machine) bool {
	in := func(list []string, x string) bool { return len(list) == 0 || slices.Contains(list, x) }
	return in(s.Machines, m.Name) && in(s.Zones, m.Zone) && in(s.Types, m.Type) &&
		(s.Spot == nil || *s.Spot == m.Spot) && (s.LastMachine == "" || m.Name <= s.LastMachine)
}

// Inventory is what a selection is checked against.
type Inventory struct {
	Zones         []string
	Types         []string  // that the cloud has
	Machines      []Machine // in the inventory
	RunningDrains []*records.Drain
}

// Select lists the machines that a selection takes in.
func (k *Inventory) Select(s *records.Selection) []Machine {
	var out []Machine
	for _, m := range k.Machines {
		if Matches(s, m) {
			out = append(out, m)
		}
	}
	return out
}

// Validate returns the first thing that is wrong with a selection, nil if it can be drained.
func (k *Inventory) Validate(s *records.Selection) *FieldError {
	for _, z := range s.Zones {
		if !slices.Contains(k.Zones, z) {
			return &FieldError{"zone", fmt.Sprintf("there is no zone %q", z)}
		}
	}
	for _, t := range s.Types {
		if !slices.Contains(k.Types, t) {
			return &FieldError{"type", fmt.Sprintf("the cloud has no machine type %q", t)}
		}
	}
	if len(s.Machines) > constants.MaxDrainMachineNames {
		return &FieldError{"machine", fmt.Sprintf("names %d machines; at most %d can be named, select by zone, type or age instead", len(s.Machines), constants.MaxDrainMachineNames)}
	}
	for _, name := range s.Machines {
		if !slices.ContainsFunc(k.Machines, func(m Machine) bool { return m.Name == name }) {
			return &FieldError{"machine", fmt.Sprintf("no machine %q is in the inventory", name)}
		}
	}
	selected := k.Select(s)
	if len(selected) == 0 {
		return &FieldError{"selection", "takes in no machine"}
	}
	for _, d := range k.RunningDrains {
		for _, m := range selected {
			if Matches(&d.Selection, m) {
				return &FieldError{"selection", fmt.Sprintf("overlaps drain %d: both take in %s", d.Number, m.Name)}
			}
		}
	}
	return nil
}

// SelectedZones lists the zones whose machines a selection may take in, in the deployment's order.
func SelectedZones(s *records.Selection, all []string) []string {
	var out []string
	for _, z := range all {
		if len(s.Zones) == 0 || slices.Contains(s.Zones, z) {
			out = append(out, z)
		}
	}
	return out
}
