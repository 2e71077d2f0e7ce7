// Package records defines the records that ravenport keeps in the key-value store, their
// keys and their stored forms. It does no input or output.
package records

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ravenport/wire"
)

// Keys. Everything stands under one prefix so that one watch sees it all.
const (
	KeyPrefix        = "rv/"
	KeyLeader        = KeyPrefix + "leader"
	KeyBarrier       = KeyPrefix + "barrier" // never written; reading it tells the revision
	controllerPrefix = KeyPrefix + "node/"
	revocationPrefix = KeyPrefix + "revoked/"
	shardPrefix      = KeyPrefix + "part/"
	inventoryPrefix  = KeyPrefix + "roster/"
	jobPrefix        = KeyPrefix + "job/"
)

// KeyController is the key that lives as long as a controller's lease.
func KeyController(name string) string { return controllerPrefix + name }

// KeyRevocation is the key of the latest revocation of a controller's process.
func KeyRevocation(controller string) string { return revocationPrefix + controller }

// KeyShard is the key of a shard's term.
func KeyShard(shard string) string { return shardPrefix + shard }

// KeyInventory is a page of a shard's inventory.
func KeyInventory(shard string, page int) string {
	return inventoryPrefix + shard + "/" + strconv.Itoa(page)
}

// KeyJob is the key of a job.
func KeyJob(id string) string { return jobPrefix + id }

// Controller says that a controller is alive; the key is attached to its lease.
type Controller struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"inc"`
	// ReadsPacked: this version reads packed records.
	ReadsPacked bool `json:"pack,omitempty"`
	// LeaseTTLMS is the life of the process's lease (ms), if it heeds revocations; one
	// that does not must not be revoked.
	LeaseTTLMS int64 `json:"life,omitempty"`
}

// Revocation ends the authority of one process of a controller, although its lease
// lives: at most the lease's life after this was written. It is never deleted, and
// says nothing of any other process.
type Revocation struct {
	Controller  string   `json:"-"`
	Incarnation uint64   `json:"inc"`
	LeaseTTLMS  int64    `json:"life"`
	RevokedBy   string   `json:"by"`
	Evidence    []string `json:"ev,omitempty"`
	Accusers    []string `json:"acc,omitempty"`
}

// Term says who leads or owns, and under which token. Terms are never
// deleted, so that they only rise.
type Term struct {
	Shard       string `json:"-"` // empty: the leader's
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"`
	Number      uint64 `json:"term"`
	// PreviousUnreachable: the holder before gave the term up because its machines could not
	// reach it. It gets it back only after a while.
	PreviousUnreachable bool `json:"cut,omitempty"`
}

// InventoryPage is one page of a shard's inventory. An inventory of a thousand machines with a
// key for each would take minutes of the state service's changes; grouped by
// kind, a page of 8 KiB takes some two hundred.
type InventoryPage struct {
	Shard  string         `json:"-"`
	Number int            `json:"-"`
	Groups []MachineGroup `json:"g"`
}

// MachineGroup lists machines of one kind that may hold tasks.
type MachineGroup struct {
	Type string `json:"t"`
	Spot bool   `json:"s,omitempty"`
	// Registered are those that have reported, with their addresses.
	Registered map[string]string `json:"u,omitempty"`
	// Pending are those that have not, with the time of day of their rental (s):
	// nothing was ever sent to them.
	Pending map[string]int64 `json:"c,omitempty"`
	// Terminating are those of both that are to be returned: they never take a task again.
	Terminating []string `json:"x,omitempty"`
}

// Machine is one machine of a page.
type Machine struct {
	Name, Type, Addr string // no address: it has not come up
	Spot             bool
	RequestedS       int64
	Terminating      bool // it is to be returned, and never takes a task again
}

// Add puts a machine on the page.
func (p *InventoryPage) Add(m Machine) {
	at := -1
	for i := range p.Groups {
		if p.Groups[i].Type == m.Type && p.Groups[i].Spot == m.Spot {
			at = i
		}
	}
	if at < 0 {
		at = len(p.Groups)
		p.Groups = append(p.Groups, MachineGroup{Type: m.Type, Spot: m.Spot, Registered: map[string]string{}, Pending: map[string]int64{}})
	}
	if m.Addr != "" {
		p.Groups[at].Registered[m.Name] = m.Addr
	} else {
		p.Groups[at].Pending[m.Name] = m.RequestedS
	}
	if m.Terminating {
		p.Groups[at].Terminating = append(p.Groups[at].Terminating, m.Name)
	}
}

// Machines lists the machines of the page.
func (p *InventoryPage) Machines() []Machine {
	var out []Machine
	for _, g := range p.Groups {
		for name, addr := range g.Registered {
			out = append(out, Machine{Name: name, Type: g.Type, Spot: g.Spot, Addr: addr, Terminating: slices.Contains(g.Terminating, name)})
		}
		for name, at := range g.Pending {
			out = append(out, Machine{Name: name, Type: g.Type, Spot: g.Spot, RequestedS: at, Terminating: slices.Contains(g.Terminating, name)})
		}
	}
	slices.SortFunc(out, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Job is a job's record.
type Job struct {
	ID          string          `json:"-"`
	Spec        wire.Submission `json:"spec"`
	AcceptedMS  int64           `json:"at"`
	End         string          `json:"end,omitempty"` // wire.JobDone or wire.JobCancelled
	Assignments []Assignment    `json:"ch,omitempty"`
	// Attempt is the number under which a gang in several shards is started. It
	// rises with every such assignment and is never used again.
	Attempt uint64 `json:"try,omitempty"`
}

// Assignment is a range of a job's tasks that one shard looks after. Tasks in no
// assignment wait for the leader.
type Assignment struct {
	From  int    `json:"f"`
	To    int    `json:"t"` // exclusive
	Shard string `json:"p"`
	// Closed: every task of the range is done or, for a job that ended, is
	// surely on no machine any more. A closed assignment takes up no room.
	Closed bool `json:"c,omitempty"`
	// KeepWaiting: other shards have been asked or are known to be full, so the owner
	// waits for room or rents instead of sending the tasks back.
	KeepWaiting bool `json:"k,omitempty"`
	// Guaranteed: the leader found the work within its team's guarantee.
	Guaranteed bool `json:"g,omitempty"`
}

// Tasks is the number of tasks in the assignment.
func (c Assignment) Tasks() int { return c.To - c.From }

// Range is a run of a job's tasks.
type Range struct {
	From int
	To   int // exclusive
}

// Tasks is the number of tasks in the range.
func (r Range) Tasks() int { return r.To - r.From }

// TasksIn is the number of tasks in several ranges.
func TasksIn(ranges []Range) int {
	n := 0
	for _, r := range ranges {
		n += r.Tasks()
	}
	return n
}

// Unassigned lists the ranges of tasks in no assignment. Assignments are kept sorted.
func (j *Job) Unassigned() []Range {
	var out []Range
	at := 0
	for _, c := range j.Assignments {
		if c.From > at {
			out = append(out, Range{at, c.From})
		}
		at = c.To
	}
	if at < j.Spec.Tasks {
		out = append(out, Range{at, j.Spec.Tasks})
	}
	return out
}

// AllTasksClosed says whether every task is in a closed assignment.
func (j *Job) AllTasksClosed() bool {
	at := 0
	for _, c := range j.Assignments {
		if c.From != at || !c.Closed {
			return false
		}
		at = c.To
	}
	return at == j.Spec.Tasks
}

// AllAssignmentsClosed says whether no assignment is open any more, so that no task of the job
// can be on any machine.
func (j *Job) AllAssignmentsClosed() bool {
	for _, c := range j.Assignments {
		if !c.Closed {
			return false
		}
	}
	return true
}

// Clone copies the record so that the copy's assignments can be changed. Records
// that came from the feed are shared and must not be changed.
func (j *Job) Clone() *Job {
	c := *j
	c.Assignments = append([]Assignment(nil), j.Assignments...)
	return &c
}

// Normalize sorts the assignments and joins neighbours that are alike.
func (j *Job) Normalize() {
	for i := 1; i < len(j.Assignments); i++ {
		for k := i; k > 0 && j.Assignments[k].From < j.Assignments[k-1].From; k-- {
			j.Assignments[k], j.Assignments[k-1] = j.Assignments[k-1], j.Assignments[k]
		}
	}
	out := j.Assignments[:0]
	for _, c := range j.Assignments {
		if c.From >= c.To {
			continue
		}
		// Of a closed assignment nothing but its range matters any more.
		if n := len(out); n > 0 && out[n-1].To == c.From && out[n-1].Closed == c.Closed &&
			(c.Closed || out[n-1].Shard == c.Shard && out[n-1].KeepWaiting == c.KeepWaiting && out[n-1].Guaranteed == c.Guaranteed) {
			out[n-1].To = c.To
			continue
		}
		out = append(out, c)
	}
	j.Assignments = out
}

// Encode writes a record for the state service.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// Records hold only checked numbers and strings.
		panic(fmt.Sprintf("records: encoding a %T: %v", v, err))
	}
	return b
}

// Decode reads the record under key: *Node, *Revocation, *Term, *Page, *Job, *Drain or
// *Claim. It returns nil for a key of another kind.
func Decode(key string, data []byte) (any, error) {
	var v any
	switch {
	case key == KeyLeader:
		v = &Term{}
	case strings.HasPrefix(key, shardPrefix):
		v = &Term{Shard: key[len(shardPrefix):]}
	case strings.HasPrefix(key, controllerPrefix):
		v = &Controller{Name: key[len(controllerPrefix):]}
	case strings.HasPrefix(key, revocationPrefix):
		v = &Revocation{Controller: key[len(revocationPrefix):]}
	case strings.HasPrefix(key, inventoryPrefix):
		shard, page, _ := strings.Cut(key[len(inventoryPrefix):], "/")
		n, err := strconv.Atoi(page)
		if err != nil {
			return nil, nil
		}
		v = &InventoryPage{Shard: shard, Number: n}
	case strings.HasPrefix(key, jobPrefix):
		j := &Job{ID: key[len(jobPrefix):]}
		if len(data) > 0 && data[0] == '[' {
			if err := unpackJob(data, j); err != nil {
				return nil, fmt.Errorf("record %s: %w", key, err)
			}
			return j, nil
		}
		v = j
	default:
		if v = newDrainingRecord(key); v == nil {
			return nil, nil
		}
	}
	if err := wire.Decode(data, v); err != nil {
		return nil, fmt.Errorf("record %s: %w", key, err)
	}
	return v, nil
}

// KeyKind splits a key for changes whose value is gone.
func KeyKind(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	return kind, rest
}

// CreatesJob says that a transaction creates one job's record and does nothing else:
// carried out twice, or late, it changes nothing that exists.
func CreatesJob(t wire.Txn) bool {
	if len(t.Conditions) != 1 || len(t.Changes) != 1 {
		return false
	}
	key, change := t.Conditions[0], t.Changes[0]
	return key.Version == 0 && change.Put == key.Key && change.Delete == "" && change.Lease == 0 &&
		strings.HasPrefix(key.Key, KeyJob(""))
}
