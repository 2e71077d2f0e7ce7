package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/kvstore"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/shard"
	"ravenport/wire"
)

// DrainPeer is another controller, as far as drains go.
type DrainPeer interface {
	Drain(ctx context.Context, r peer.DrainRequest) (peer.DrainReply, error)
}

// Messages about drains to the control actor and to owners.
type (
	drainSnapshotRequest struct{ answer chan<- drainSnapshot } // has room for the answer
	ownerRequest         struct {                              // for the owner of a shard here, nil if there is none
		shard  string
		answer chan<- *actor.Ref
	}
	shardPlanRequest struct {
		selection records.Selection
		answer    chan<- drain.ShardPlan
	}
)

// drainRecords is what a controller knows of drains: the records as stored, and what
// owners tell of their progress.
type drainRecords struct {
	stored map[string]records.Change    // drains, claims and terms of shards, by key
	views  map[string]drain.ShardStatus // by shard
}

func newDrainRecords() drainRecords {
	return drainRecords{stored: map[string]records.Change{}, views: map[string]drain.ShardStatus{}}
}

// apply takes in a change from the feed.
func (r *drainRecords) apply(ch records.Change) {
	switch ch.Record.(type) {
	case *records.Drain, *records.DisruptionClaim, *records.Term, *records.DamagedRecord:
		r.stored[ch.Key] = ch
	case nil:
		delete(r.stored, ch.Key)
	}
}

// changes lists the records as an owner that starts takes them in.
func (r *drainRecords) changes() []records.Change {
	return slices.Collect(maps.Values(r.stored))
}

// drainSnapshot is what a request about drains is answered from.
type drainSnapshot struct {
	inventory      drain.Inventory
	drains         map[int]records.Change // readable ones
	damagedNumbers []int
	views          map[string]drain.ShardStatus
	holders        map[string]string // of each shard, if it has a live one
}

func (c *controlActor) drainSnapshot() drainSnapshot {
	s := drainSnapshot{inventory: drain.Inventory{Zones: c.set.Deployment.Zones}, drains: map[int]records.Change{}, views: maps.Clone(c.drainRecords.views), holders: map[string]string{}}
	for _, t := range c.machineTypes {
		s.inventory.Types = append(s.inventory.Types, t.Name)
	}
	for _, page := range c.inventory {
		for _, m := range page.Machines() {
			s.inventory.Machines = append(s.inventory.Machines, drain.Machine{Name: m.Name, Zone: page.Shard, Type: m.Type, Spot: m.Spot})
		}
	}
	for _, ch := range c.drainRecords.stored {
		switch r := ch.Record.(type) {
		case *records.Drain:
			s.drains[r.Number] = ch
			if !r.State.IsTerminal() {
				s.inventory.RunningDrains = append(s.inventory.RunningDrains, r)
			}
		case *records.DamagedRecord:
			if n, ok := r.DrainNumber(); ok {
				s.damagedNumbers = append(s.damagedNumbers, n)
			}
		}
	}
	slices.SortFunc(s.inventory.Machines, func(a, b drain.Machine) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.inventory.RunningDrains, func(a, b *records.Drain) int { return a.Number - b.Number })
	slices.Sort(s.damagedNumbers)
	for _, zone := range c.set.Deployment.Zones {
		if name, ok := c.member.Holder(records.KeyShard(zone)); ok {
			s.holders[zone] = name
		}
	}
	return s
}

// receiveDrainMessage takes in questions about drains, and says whether a message is one.
func (c *controlActor) receiveDrainMessage(msg any) bool {
	switch m := msg.(type) {
	case drainSnapshotRequest:
		m.answer <- c.drainSnapshot()
	case ownerRequest:
		var ref *actor.Ref
		if o := c.owners[m.shard]; o != nil {
			ref = o.ref
		}
		m.answer <- ref
	default:
		return false
	}
	return true
}

// drainingConfig is what an owner here needs to drain machines.
func (c *controlActor) drainingConfig() shard.DrainingConfig {
	cfg := shard.DrainingConfig{Shards: c.set.Deployment.Zones, Budgets: c.set.Draining.Budgets, Policy: c.set.Draining.Policy}
	if c.dependencies.drainingGuards != nil {
		c.dependencies.drainingGuards(&cfg)
	}
	return cfg
}

// drainService answers requests about drains. It runs beside the actors.
type drainService struct {
	name        string
	control     *actor.Ref
	store       Store
	cloud       Cloud
	peers       map[string]DrainPeer
	stableAfter time.Duration
}

// errNoAnswer says that an actor did not answer in time.
var errNoAnswer = errors.New("the controller is busy and did not answer in time")

// request sends an actor a question and waits for its answer.
func request[T any](ctx context.Context, to *actor.Ref, question func(chan<- T) any) (T, error) {
	answer := make(chan T, 1)
	to.Tell(question(answer))
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		var none T
		return none, errNoAnswer
	}
}

func (r *drainService) snapshot(ctx context.Context) (drainSnapshot, error) {
	return request(ctx, r.control, func(a chan<- drainSnapshot) any { return drainSnapshotRequest{a} })
}

// refusal is a reply that says that nothing was done.
func refusal(field, format string, args ...any) peer.DrainReply {
	return peer.DrainReply{Problem: &drain.FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}}
}

// Answer answers a request about drains.
func (r *drainService) Answer(ctx context.Context, q peer.DrainRequest) (peer.DrainReply, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.DrainCallTimeout)
	defer cancel()
	switch q.Op {
	case peer.OpShardPlan:
		plan, err := r.planShard(ctx, q.Shard, q.Selection)
		return peer.DrainReply{ShardPlan: plan}, err
	case peer.OpPlan, peer.OpStart:
		return r.planOrStart(ctx, q)
	case peer.OpStatus:
		s, err := r.snapshot(ctx)
		return peer.DrainReply{Status: s.status(r.name)}, err
	case peer.OpPause, peer.OpResume, peer.OpCancel:
		return r.changeState(ctx, q)
	}
	return refusal("op", "%q is nothing that can be asked of a drain", q.Op), nil
}

// planShard asks the owner of a shard here; nil if there is none.
func (r *drainService) planShard(ctx context.Context, name string, s records.Selection) (*drain.ShardPlan, error) {
	owner, err := request(ctx, r.control, func(a chan<- *actor.Ref) any { return ownerRequest{name, a} })
	if err != nil || owner == nil {
		return nil, err
	}
	plan, err := request(ctx, owner, func(a chan<- drain.ShardPlan) any { return shardPlanRequest{s, a} })
	if err != nil {
		return nil, err
	}
	return &plan, nil
}

// planOrStart checks a selection and plans its drain; with OpStart it is then written.
func (r *drainService) planOrStart(ctx context.Context, q peer.DrainRequest) (peer.DrainReply, error) {
	s, err := r.snapshot(ctx)
	if err != nil {
		return peer.DrainReply{}, err
	}
	selection, wrong := r.resolve(ctx, q, &s)
	if wrong == nil {
		wrong = s.inventory.Validate(&selection)
	}
	if wrong != nil {
		return peer.DrainReply{Problem: wrong}, nil
	}
	plan := r.plan(ctx, &s, selection)
	reply := peer.DrainReply{Plan: &plan}
	if q.Op == peer.OpPlan {
		return reply, nil
	}
	if len(plan.MissingShards) > 0 {
		return refusal("zone", "the owner of shard %s cannot be asked, or does not drain", plan.MissingShards[0]), nil
	}
	if x := plan.FirstPermanentObstacle(); x != nil {
		return refusal("budget", "a task of %s on %s can never be moved: %s", x.JobID, x.Machine, x.Reason), nil
	}
	number, wrong, err := r.start(ctx, &s, selection)
	if wrong != nil || err != nil {
		return peer.DrainReply{Problem: wrong}, err
	}
	reply.Number = number
	return reply, nil
}

// resolve makes a selection of what was asked for. It ends with the last machine that
// is known now, so what is rented later is no part of it.
func (r *drainService) resolve(ctx context.Context, q peer.DrainRequest, s *drainSnapshot) (records.Selection, *drain.FieldError) {
	selection := q.Selection
	if len(selection.Machines)+len(selection.Zones)+len(selection.Types) == 0 && selection.Spot == nil && q.MinAgeS == 0 && !q.MatchAll {
		return selection, &drain.FieldError{Field: "selection", Problem: "names no machine, zone, type, kind or age; say so if all machines are meant"}
	}
	if q.MinAgeS < 0 {
		return selection, &drain.FieldError{Field: "rented-before", Problem: "must not be negative"}
	}
	if n := len(s.inventory.Machines); n > 0 {
		selection.LastMachine = s.inventory.Machines[n-1].Name
	}
	if q.MinAgeS == 0 {
		return selection, nil
	}
	list, err := r.cloud.Machines(ctx)
	if err != nil {
		return selection, &drain.FieldError{Field: "rented-before", Problem: "the cloud does not tell the machines' ages: " + err.Error()}
	}
	selection.LastMachine = ""
	for _, m := range list {
		if m.AgeS >= q.MinAgeS {
			selection.LastMachine = max(selection.LastMachine, m.Name)
		}
	}
	if selection.LastMachine == "" {
		return selection, &drain.FieldError{Field: "rented-before", Problem: "no machine is that old"}
	}
	return selection, nil
}

// plan asks the owners of all shards that a selection may touch.
func (r *drainService) plan(ctx context.Context, s *drainSnapshot, selection records.Selection) drain.Plan {
	var plans []drain.ShardPlan
	var missing []string
	for _, zone := range drain.SelectedZones(&selection, s.inventory.Zones) {
		var got *drain.ShardPlan
		if holder := s.holders[zone]; holder == r.name {
			got, _ = r.planShard(ctx, zone, selection) // without an answer it is missing
		} else if p := r.peers[holder]; p != nil {
			if reply, err := p.Drain(ctx, peer.DrainRequest{Op: peer.OpShardPlan, Shard: zone, Selection: selection}); err == nil {
				got = reply.ShardPlan
			}
		}
		if got == nil {
			missing = append(missing, zone)
			continue
		}
		plans = append(plans, *got)
	}
	return drain.MergePlans(plans, missing, r.stableAfter)
}

// start writes a new drain under the next number, and clears the oldest ones away that
// are over.
func (r *drainService) start(ctx context.Context, s *drainSnapshot, selection records.Selection) (int, *drain.FieldError, error) {
	numbers := slices.Sorted(maps.Keys(s.drains))
	number := 1
	for _, n := range append(numbers, s.damagedNumbers...) {
		number = max(number, n+1)
	}
	record := records.Drain{Selection: selection, State: records.DrainRunning, StartedS: time.Now().Unix(), MachineCount: len(s.inventory.Select(&selection))}
	key := records.KeyDrain(number)
	txn := wire.Txn{Conditions: []wire.Condition{{Key: key, Version: 0}}, Changes: []wire.Change{{Put: key, Value: records.Encode(record)}}}
	if len(numbers) >= constants.MaxFinishedDrains {
		if old := s.drains[numbers[0]]; old.Record.(*records.Drain).State.IsTerminal() {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: old.Key, Version: old.Version})
			txn.Changes = append(txn.Changes, wire.Change{Delete: old.Key})
		}
	}
	wrong, err := r.commit(ctx, txn)
	return number, wrong, err
}

// commit writes what an operator asked for.
func (r *drainService) commit(ctx context.Context, txn wire.Txn) (*drain.FieldError, error) {
	err := kvstore.RetryRateLimited(ctx, constants.DrainCallTimeout, constants.RetryBackoffMin, constants.RetryBackoffMin, func() error {
		_, err := r.store.Commit(ctx, txn)
		return err
	})
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return &drain.FieldError{Field: "drain", Problem: "its record changed meanwhile; look at the status and ask again"}, nil
	}
	return nil, err
}

// changeState pauses, resumes or cancels a drain.
func (r *drainService) changeState(ctx context.Context, q peer.DrainRequest) (peer.DrainReply, error) {
	s, err := r.snapshot(ctx)
	if err != nil {
		return peer.DrainReply{}, err
	}
	if slices.Contains(s.damagedNumbers, q.Number) {
		return refusal("drain", "the record of drain %d cannot be read; it does nothing, and is not written over", q.Number), nil
	}
	stored, ok := s.drains[q.Number]
	if !ok {
		return refusal("drain", "there is no drain %d", q.Number), nil
	}
	next := stored.Record.(*records.Drain).Clone()
	if next.State.IsTerminal() {
		return refusal("drain", "drain %d is %s already", q.Number, next.State), nil
	}
	switch {
	case q.Op == peer.OpCancel:
		next.State = records.DrainCancelled
	case q.Op == peer.OpPause && next.State == records.DrainRunning:
		next.State = records.DrainPaused
	case q.Op == peer.OpResume && next.State != records.DrainRunning:
		next.State, next.StopReason = records.DrainRunning, ""
		next.ResumeCount++
	default:
		return refusal("drain", "drain %d is %s already", q.Number, next.State), nil
	}
	wrong, err := r.commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: stored.Key, Version: stored.Version}},
		Changes:    []wire.Change{{Put: stored.Key, Value: records.Encode(next)}},
	})
	return peer.DrainReply{Number: q.Number, Problem: wrong}, err
}

// status makes the status of all drains.
func (s *drainSnapshot) status(node string) *peer.DrainStatus {
	out := &peer.DrainStatus{Controller: node, Drains: []peer.DrainView{}, Unreadable: s.damagedNumbers}
	for _, n := range slices.Sorted(maps.Keys(s.drains)) {
		r := s.drains[n].Record.(*records.Drain)
		v := peer.DrainView{Number: n, State: r.State, StopReason: r.StopReason, StartedS: r.StartedS, Machines: r.MachineCount, CanaryPassed: r.CanaryPassed}
		if !r.State.IsTerminal() {
			v.Remaining = len(s.inventory.Select(&r.Selection))
		}
		for _, zone := range s.inventory.Zones {
			for _, p := range s.views[zone].Drains {
				if p.Drain == n {
					v.Shards = append(v.Shards, p)
				}
			}
		}
		out.Drains = append(out.Drains, v)
	}
	for _, zone := range s.inventory.Zones {
		for _, u := range s.views[zone].BudgetUsage {
			at := slices.IndexFunc(out.Budgets, func(x disruption.Usage) bool { return x.Budget == u.Budget })
			if at < 0 {
				out.Budgets = append(out.Budgets, u)
			} else if u.Unavailable > out.Budgets[at].Unavailable {
				out.Budgets[at] = u
			}
		}
	}
	return out
}
