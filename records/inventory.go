package records

import (
	"slices"
	"strings"
)

// InventoryPage is one page of a shard's inventory. With one key per machine, writing an
// inventory of a thousand machines would use up the store's write rate limit for minutes.
// Grouped by type, about two hundred machines fit into a page of 8 KiB.
type InventoryPage struct {
	Shard  string         `json:"-"`
	Number int            `json:"-"` // page number
	Groups []MachineGroup `json:"g"`
}

// MachineGroup lists machines of one type that may run tasks. They are either all spot
// instances or all on-demand instances.
type MachineGroup struct {
	Type string `json:"t"`
	Spot bool   `json:"s,omitempty"`
	// Registered maps the name of each machine that has sent a heartbeat to its address.
	Registered map[string]string `json:"u,omitempty"`
	// Pending maps the name of each other machine to the time of day of its scale-out
	// request (s). No message was ever sent to a pending machine.
	Pending map[string]int64 `json:"c,omitempty"`
	// Terminating lists the registered and pending machines that will be scaled in. They
	// are never assigned another task.
	Terminating []string `json:"x,omitempty"`
}

// Machine is one machine of an inventory page.
type Machine struct {
	Name       string
	Type       string
	Spot       bool
	Addr       string // empty until the machine has sent a heartbeat
	RequestedS int64  // time of day of the scale-out request (s), only set without Addr
	// Terminating means that the machine will be scaled in and is never assigned another
	// task.
	Terminating bool
}

// Add adds a machine to the page.
func (p *InventoryPage) Add(machine Machine) {
	group := p.group(machine.Type, machine.Spot)
	if machine.Addr != "" {
		group.Registered[machine.Name] = machine.Addr
	} else {
		group.Pending[machine.Name] = machine.RequestedS
	}
	if machine.Terminating {
		group.Terminating = append(group.Terminating, machine.Name)
	}
}

// group returns the group of a machine type, and adds the group if the page has none. The
// pointer is valid until the next group is added.
func (p *InventoryPage) group(machineType string, spot bool) *MachineGroup {
	for i := len(p.Groups) - 1; i >= 0; i-- {
		if p.Groups[i].Type == machineType && p.Groups[i].Spot == spot {
			return &p.Groups[i]
		}
	}
	p.Groups = append(p.Groups, MachineGroup{
		Type:       machineType,
		Spot:       spot,
		Registered: map[string]string{},
		Pending:    map[string]int64{},
	})
	return &p.Groups[len(p.Groups)-1]
}

// Machines returns the machines of the page, sorted by name.
func (p *InventoryPage) Machines() []Machine {
	var machines []Machine
	for _, group := range p.Groups {
		for name, addr := range group.Registered {
			machine := group.machine(name)
			machine.Addr = addr
			machines = append(machines, machine)
		}
		for name, requestedS := range group.Pending {
			machine := group.machine(name)
			machine.RequestedS = requestedS
			machines = append(machines, machine)
		}
	}
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
	return machines
}

// machine returns the machine called name with the properties that the group stores for
// all machines; Addr and RequestedS are left unset.
func (g *MachineGroup) machine(name string) Machine {
	return Machine{Name: name, Type: g.Type, Spot: g.Spot, Terminating: slices.Contains(g.Terminating, name)}
}
