package records

import (
	"slices"
	"strings"
)

// InventoryPage is one page of a shard's inventory. An inventory of a thousand machines
// with a key for each would take minutes of the store's write rate; grouped by type, a
// page of 8 KiB holds some two hundred machines.
type InventoryPage struct {
	Shard  string         `json:"-"`
	Number int            `json:"-"` // of the page
	Groups []MachineGroup `json:"g"`
}

// MachineGroup lists machines of one type that may hold tasks, either spot instances or
// on-demand ones.
type MachineGroup struct {
	Type string `json:"t"`
	Spot bool   `json:"s,omitempty"`
	// Registered are the addresses of the machines that have sent a heartbeat, by name.
	Registered map[string]string `json:"u,omitempty"`
	// Pending are the other machines, by name, with the time of day of the scale-out
	// request (s): nothing was ever sent to them.
	Pending map[string]int64 `json:"c,omitempty"`
	// Terminating are the names of machines of both kinds that are to be scaled in: they
	// never take a task again.
	Terminating []string `json:"x,omitempty"`
}

// Machine is one machine of an inventory page.
type Machine struct {
	Name       string
	Type       string
	Spot       bool
	Addr       string // empty while it has sent no heartbeat
	RequestedS int64  // time of day of the scale-out request (s); of machines without Addr
	// Terminating: it is to be scaled in and never takes a task again.
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

// group returns the group of a type of machine, which it adds if there is none. The
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

// machine returns what the group tells of any of its machines.
func (g *MachineGroup) machine(name string) Machine {
	return Machine{Name: name, Type: g.Type, Spot: g.Spot, Terminating: slices.Contains(g.Terminating, name)}
}
