package controller

import (
	"maps"
	"slices"
	"strings"

	"ravenport/actor"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/peer"
	"ravenport/records"
)

// Messages about drains to the control actor and to shard owners. Their answer channels
// are buffered.
type (
	drainSnapshotRequest struct{ answer chan<- drainSnapshot }
	// ownerRequest requests a shard's owner in this process; the answer is nil if the
	// owner does not run in this process.
	ownerRequest struct {
		shard  string
		answer chan<- *actor.Ref
	}
	// shardPlanRequest requests an owner's plan for draining the machines of a selection.
	shardPlanRequest struct {
		selection records.Selection
		answer    chan<- shardPlanAnswer
	}
	// shardPlanAnswer is an owner's plan, or the error why there is none.
	shardPlanAnswer struct {
		plan drain.ShardPlan
		err  error
	}
)

// receiveDrainMessage answers msg if it is a request about drains, and returns whether it
// is one.
func (c *controlActor) receiveDrainMessage(msg any) bool {
	switch m := msg.(type) {
	case drainSnapshotRequest:
		m.answer <- c.drainSnapshot()
	case ownerRequest:
		var ref *actor.Ref
		if owner := c.roles.owners[m.shard]; owner != nil {
			ref = owner.ref
		}
		m.answer <- ref
	default:
		return false
	}
	return true
}

// drainSnapshot is a copy of the state from which requests about drains are answered.
type drainSnapshot struct {
	inventory     drain.Inventory
	drains        map[int]records.Change // drains whose record could be decoded, by number
	unreadable    []int                  // numbers of the drains whose record is damaged
	shardStatuses map[string]drain.ShardStatus
	ownerNames    map[string]string // names of the live controllers that own the shards, by shard
}

// drainSnapshot returns a snapshot of the control actor's current state.
func (c *controlActor) drainSnapshot() drainSnapshot {
	snapshot := drainSnapshot{
		inventory:     drain.Inventory{Zones: c.settings.Deployment.Zones},
		drains:        map[int]records.Change{},
		shardStatuses: maps.Clone(c.drains.shardStatuses),
		ownerNames:    map[string]string{},
	}
	for _, t := range c.machineTypes.known {
		snapshot.inventory.Types = append(snapshot.inventory.Types, t.Name)
	}
	for _, page := range c.feed.inventory {
		snapshot.addMachines(page)
	}
	for _, change := range c.drains.stored {
		snapshot.addRecord(change)
	}
	slices.SortFunc(snapshot.inventory.Machines, func(a, b drain.Machine) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(snapshot.inventory.RunningDrains, func(a, b *records.Drain) int { return a.Number - b.Number })
	slices.Sort(snapshot.unreadable)
	for _, zone := range c.settings.Deployment.Zones {
		if name, alive := c.member.Holder(records.KeyShard(zone)); alive {
			snapshot.ownerNames[zone] = name
		}
	}
	return snapshot
}

func (s *drainSnapshot) addMachines(page *records.InventoryPage) {
	for _, m := range page.Machines() {
		s.inventory.Machines = append(s.inventory.Machines, drain.Machine{Name: m.Name, Zone: page.Shard, Type: m.Type, Spot: m.Spot})
	}
}

func (s *drainSnapshot) addRecord(change records.Change) {
	switch r := change.Record.(type) {
	case *records.Drain:
		s.drains[r.Number] = change
		if !r.State.IsTerminal() {
			s.inventory.RunningDrains = append(s.inventory.RunningDrains, r)
		}
	case *records.DamagedRecord:
		if number, ok := r.DrainNumber(); ok {
			s.unreadable = append(s.unreadable, number)
		}
	}
}

// status returns the status of all drains, as this snapshot of the named controller has
// them.
func (s *drainSnapshot) status(controller string) *peer.DrainStatus {
	status := &peer.DrainStatus{Controller: controller, Drains: []peer.DrainView{}, Unreadable: s.unreadable, Budgets: s.budgetUsage()}
	for _, number := range slices.Sorted(maps.Keys(s.drains)) {
		status.Drains = append(status.Drains, s.drainView(s.drains[number].Record.(*records.Drain)))
	}
	return status
}

// drainView returns a drain with its progress in each shard.
func (s *drainSnapshot) drainView(record *records.Drain) peer.DrainView {
	view := peer.DrainView{
		Number:       record.Number,
		State:        record.State,
		StopReason:   record.StopReason,
		StartedS:     record.StartedS,
		Machines:     record.MachineCount,
		CanaryPassed: record.CanaryPassed,
	}
	if !record.State.IsTerminal() {
		view.Remaining = len(s.inventory.Select(&record.Selection))
	}
	for _, zone := range s.inventory.Zones {
		for _, progress := range s.shardStatuses[zone].Drains {
			if progress.Drain == record.Number {
				view.Shards = append(view.Shards, progress)
			}
		}
	}
	return view
}

// budgetUsage returns each budget's usage once: the highest that a shard owner reports.
func (s *drainSnapshot) budgetUsage() []disruption.Usage {
	var budgets []disruption.Usage
	for _, zone := range s.inventory.Zones {
		for _, usage := range s.shardStatuses[zone].BudgetUsage {
			at := slices.IndexFunc(budgets, func(x disruption.Usage) bool { return x.Budget == usage.Budget })
			switch {
			case at < 0:
				budgets = append(budgets, usage)
			case usage.Unavailable > budgets[at].Unavailable:
				budgets[at] = usage
			}
		}
	}
	return budgets
}
