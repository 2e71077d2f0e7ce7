package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/drain"
	"ravenport/kvstore"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/wire"
)

// drainService answers operators' requests about drains. It runs outside the actors.
type drainService struct {
	name        string // this controller's name
	control     *actor.Ref
	store       Store
	cloud       Cloud
	peers       map[string]DrainPeer
	stableAfter time.Duration
}

// errActorTimeout is returned if an actor does not answer in time. Its text is shown to
// operators.
var errActorTimeout = errors.New("the controller is busy and did not answer in time")

// request sends an actor a request and waits for the answer until ctx ends.
func request[T any](ctx context.Context, to *actor.Ref, message func(answer chan<- T) any) (T, error) {
	answer := make(chan T, 1)
	to.Tell(message(answer))
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		var none T
		return none, errActorTimeout
	}
}

func (s *drainService) snapshot(ctx context.Context) (drainSnapshot, error) {
	return request(ctx, s.control, func(answer chan<- drainSnapshot) any { return drainSnapshotRequest{answer} })
}

// refusal returns a reply that names the reason why the request was refused. Nothing has
// been changed then.
func refusal(field, format string, args ...any) peer.DrainReply {
	return peer.DrainReply{Problem: &drain.FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}}
}

// Answer answers a request about drains. A refused request is answered with a reply that
// has a Problem. An error means that the outcome is unknown: the change may or may not
// have been written.
func (s *drainService) Answer(ctx context.Context, req peer.DrainRequest) (peer.DrainReply, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.DrainCallTimeout)
	defer cancel()
	switch req.Op {
	case peer.OpShardPlan:
		plan, err := s.localShardPlan(ctx, req.Shard, req.Selection)
		return peer.DrainReply{ShardPlan: plan}, err
	case peer.OpPlan, peer.OpStart:
		return s.planOrStart(ctx, req)
	case peer.OpStatus:
		snapshot, err := s.snapshot(ctx)
		return peer.DrainReply{Status: snapshot.status(s.name)}, err
	case peer.OpPause, peer.OpResume, peer.OpCancel:
		return s.changeState(ctx, req)
	}
	return refusal("op", "%q is nothing that can be asked of a drain", req.Op), nil
}

// localShardPlan returns the plan of a shard's owner in this process, or nil if the owner
// does not run in this process.
func (s *drainService) localShardPlan(ctx context.Context, shard string, selection records.Selection) (*drain.ShardPlan, error) {
	owner, err := request(ctx, s.control, func(answer chan<- *actor.Ref) any { return ownerRequest{shard, answer} })
	if err != nil || owner == nil {
		return nil, err
	}
	answer, err := request(ctx, owner, func(answer chan<- shardPlanAnswer) any { return shardPlanRequest{selection, answer} })
	if err = errors.Join(err, answer.err); err != nil {
		return nil, err
	}
	return &answer.plan, nil
}

// planOrStart validates a selection and plans its drain. With OpStart it then writes the
// drain's record, unless a shard's plan is missing or a task can never be moved.
func (s *drainService) planOrStart(ctx context.Context, req peer.DrainRequest) (peer.DrainReply, error) {
	snapshot, err := s.snapshot(ctx)
	if err != nil {
		return peer.DrainReply{}, err
	}
	selection, problem := s.resolve(ctx, req, &snapshot)
	if problem == nil {
		problem = snapshot.inventory.Validate(&selection)
	}
	if problem != nil {
		return peer.DrainReply{Problem: problem}, nil
	}
	plan := s.plan(ctx, &snapshot, selection)
	reply := peer.DrainReply{Plan: &plan}
	isComplete := len(plan.MissingShards) == 0
	if req.Op == peer.OpPlan && (isComplete || len(plan.Shards) > 0) {
		return reply, nil
	}
	if !isComplete {
		return refusal("zone", "the owner of shard %s cannot be asked, or does not drain", plan.MissingShards[0]), nil
	}
	if obstacle := plan.FirstPermanentObstacle(); obstacle != nil {
		return refusal("budget", "a task of %s on %s can never be moved: %s", obstacle.JobID, obstacle.Machine, obstacle.Reason), nil
	}
	number, problem, err := s.start(ctx, &snapshot, selection)
	if problem != nil || err != nil {
		return peer.DrainReply{Problem: problem}, err
	}
	reply.Number = number
	return reply, nil
}

// resolve turns a request into a selection. The selection ends with the last machine that
// is known now, so that machines of later scale-outs are not selected.
func (s *drainService) resolve(ctx context.Context, req peer.DrainRequest, snapshot *drainSnapshot) (records.Selection, *drain.FieldError) {
	selection := req.Selection
	hasNoCriteria := len(selection.Machines)+len(selection.Zones)+len(selection.Types) == 0 && selection.Spot == nil && req.MinAgeS == 0
	if hasNoCriteria && !req.MatchAll {
		return selection, &drain.FieldError{Field: "selection", Problem: "names no machine, zone, type, kind or age; say so if all machines are meant"}
	}
	if req.MinAgeS < 0 {
		return selection, &drain.FieldError{Field: "rented-before", Problem: "must not be negative"}
	}
	if req.MinAgeS == 0 {
		if n := len(snapshot.inventory.Machines); n > 0 {
			selection.LastMachine = snapshot.inventory.Machines[n-1].Name
		}
		return selection, nil
	}
	last, problem := s.lastMachineOfAge(ctx, req.MinAgeS)
	selection.LastMachine = last
	return selection, problem
}

// lastMachineOfAge returns the name of the last machine, in the order of names, whose age
// is at least minAgeS.
func (s *drainService) lastMachineOfAge(ctx context.Context, minAgeS float64) (string, *drain.FieldError) {
	machines, err := s.cloud.Machines(ctx)
	if err != nil {
		return "", &drain.FieldError{Field: "rented-before", Problem: "the cloud does not tell the machines' ages: " + err.Error()}
	}
	last := ""
	for _, m := range machines {
		if m.AgeS >= minAgeS {
			last = max(last, m.Name)
		}
	}
	if last == "" {
		return "", &drain.FieldError{Field: "rented-before", Problem: "no machine is that old"}
	}
	return last, nil
}

// plan requests the plans of the owners of all shards in which a selection may select
// machines, and merges them. Shards without a plan are listed as missing.
func (s *drainService) plan(ctx context.Context, snapshot *drainSnapshot, selection records.Selection) drain.Plan {
	var plans []drain.ShardPlan
	var missing []string
	for _, zone := range drain.SelectedZones(&selection, snapshot.inventory.Zones) {
		plan := s.shardPlan(ctx, snapshot.ownerNames[zone], zone, selection)
		if plan == nil {
			missing = append(missing, zone)
			continue
		}
		plans = append(plans, *plan)
	}
	return drain.MergePlans(plans, missing, s.stableAfter)
}

// shardPlan returns the plan of a shard's owner, which runs in this process or at another
// controller. The result is nil if the owner does not answer or has no plan.
func (s *drainService) shardPlan(ctx context.Context, owner, shard string, selection records.Selection) *drain.ShardPlan {
	if owner == s.name {
		plan, _ := s.localShardPlan(ctx, shard, selection)
		return plan
	}
	p := s.peers[owner]
	if p == nil {
		return nil
	}
	reply, err := p.Drain(ctx, peer.DrainRequest{Op: peer.OpShardPlan, Shard: shard, Selection: selection})
	if err != nil {
		return nil
	}
	return reply.ShardPlan
}

// start writes a new drain under the next number. If MaxFinishedDrains or more drains are
// stored and the oldest of them has ended, the same transaction deletes the oldest.
func (s *drainService) start(ctx context.Context, snapshot *drainSnapshot, selection records.Selection) (int, *drain.FieldError, error) {
	numbers := slices.Sorted(maps.Keys(snapshot.drains))
	next := 1
	for _, number := range append(numbers, snapshot.unreadable...) {
		next = max(next, number+1)
	}
	record := records.Drain{
		Selection:    selection,
		State:        records.DrainRunning,
		StartedS:     time.Now().Unix(),
		MachineCount: len(snapshot.inventory.Select(&selection)),
	}
	key := records.KeyDrain(next)
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: 0}},
		Changes:    []wire.Change{{Put: key, Value: records.Encode(record)}},
	}
	if len(numbers) >= constants.MaxFinishedDrains {
		oldest := snapshot.drains[numbers[0]]
		if oldest.Record.(*records.Drain).State.IsTerminal() {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: oldest.Key, Version: oldest.Version})
			txn.Changes = append(txn.Changes, wire.Change{Delete: oldest.Key})
		}
	}
	problem, err := s.commit(ctx, txn)
	return next, problem, err
}

// commit writes the transaction of an operator's request. If a record that it is
// conditional on has changed meanwhile, the request is refused.
func (s *drainService) commit(ctx context.Context, txn wire.Txn) (*drain.FieldError, error) {
	retry := kvstore.RateLimitRetry{
		MaxElapsed: constants.DrainCallTimeout,
		MinDelay:   constants.RetryBackoffMin,
		Jitter:     constants.RetryBackoffMin,
	}
	err := retry.Do(ctx, func() error {
		_, err := s.store.Commit(ctx, txn)
		return err
	})
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return &drain.FieldError{Field: "drain", Problem: "its record changed meanwhile; look at the status and ask again"}, nil
	}
	return nil, err
}

// changeState pauses, resumes or cancels a stored drain.
func (s *drainService) changeState(ctx context.Context, req peer.DrainRequest) (peer.DrainReply, error) {
	snapshot, err := s.snapshot(ctx)
	if err != nil {
		return peer.DrainReply{}, err
	}
	if slices.Contains(snapshot.unreadable, req.Number) {
		return refusal("drain", "the record of drain %d cannot be read; it does nothing, and is not written over", req.Number), nil
	}
	stored, ok := snapshot.drains[req.Number]
	if !ok {
		return refusal("drain", "there is no drain %d", req.Number), nil
	}
	next := stored.Record.(*records.Drain).Clone()
	if !applyOperation(next, req.Op) {
		return refusal("drain", "drain %d is %s already", req.Number, next.State), nil
	}
	problem, err := s.commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: stored.Key, Version: stored.Version}},
		Changes:    []wire.Change{{Put: stored.Key, Value: records.Encode(next)}},
	})
	return peer.DrainReply{Number: req.Number, Problem: problem}, err
}

// applyOperation changes a drain's state as an operator requested. It returns false if
// the operation does not apply to the drain's current state.
func applyOperation(d *records.Drain, op peer.DrainOp) bool {
	switch {
	case d.State.IsTerminal():
		return false
	case op == peer.OpCancel:
		d.State = records.DrainCancelled
	case op == peer.OpPause && d.State == records.DrainRunning:
		d.State = records.DrainPaused
	case op == peer.OpResume && d.State != records.DrainRunning:
		d.State = records.DrainRunning
		d.StopReason = ""
		d.ResumeCount++
	default:
		return false
	}
	return true
}
