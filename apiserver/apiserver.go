// Package apiserver answers users: submissions, polls and cancellations.
//
// What it tells is in the state service first. An answer that is not final
// comes from a read made for it: polls that arrive together share one read of
// the current revision and are answered once the feed has reached it.
package apiserver

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// Store is what the API server needs of the state service.
type Store interface {
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Revision(ctx context.Context) (uint64, error)
}

// Request is one user's request and its way back.
type Request interface {
	Respond(*httpwire.Response)
}

// Messages to the API server.
type (
	// Submit carries a submission's body.
	Submit struct {
		Request Request
		Body    []byte
	}
	// Poll asks for a job's state.
	Poll struct {
		Request Request
		JobID   string
	}
	// Cancel asks to cancel a job.
	Cancel struct {
		Request Request
		JobID   string
	}
	// MachineTypes carries the cloud's machine types.
	MachineTypes []wire.MachineType
	// ShardCounts carries a shard's counts of running and done tasks by job.
	ShardCounts struct {
		Shard string
		ByJob records.CountsByJob
	}
	// GetMetrics asks for figures in the text format that Prometheus reads.
	GetMetrics struct{ Request Request }
	// PackingEnabled says that every controller reads packed records.
	PackingEnabled struct{}
	// JobCancelled is what the API server tells of a cancellation that it knows of
	// beside the feed, before it tells any user.
	JobCancelled struct {
		JobID    string
		Revision uint64 // at which it was stored, or later
	}
	// Tick lets waiting requests be looked at.
	Tick time.Time

	readDone struct {
		polls    []*poll
		revision uint64
		err      error
	}
	created struct {
		s    wire.Submission
		req  Request
		err  error
		shut bool // this controller's own way to the state service is
		came time.Time
	}
	finished struct{}
	readNow  struct{}
)

// jobSummary is what the API server remembers of a job.
type jobSummary struct {
	endState    string
	taskCount   int
	closedTasks int
}

// Server is the API server's actor.
type Server struct {
	settings        *settings.Settings
	store           Store
	self            *actor.Ref
	jobs            map[string]jobSummary
	appliedRevision uint64
	machineTypes    []wire.MachineType
	countsByShard   map[string]records.CountsByJob
	unreadPolls     []*poll // arrived since the last read began
	readPending     bool
	lastReadAt      time.Time     // when the last read began
	readInterval    time.Duration // between two reads
	readPolls       []*poll       // read, waiting for the feed
	pendingRequests int           // requests that wait for the state service
	stats           stats
	controller      *actor.Ref // is told of cancellations
	sizeLimits      records.SizeLimits
	storeDownUntil  time.Time // until then the state service counts as away
	path            storePath
}

// New makes an API server that is spoken to through self and tells control of
// cancellations.
func New(set *settings.Settings, store Store, self, control *actor.Ref) *Server {
	return &Server{controller: control, settings: set, sizeLimits: set.RecordSizeLimits(), store: store, self: self, jobs: map[string]jobSummary{}, countsByShard: map[string]records.CountsByJob{}, stats: newStats(), readInterval: set.WatchInterval()}
}

// Receive implements actor.Handler.
func (d *Server) Receive(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case records.Update:
		d.applyUpdate(m)
	case Submit:
		d.submit(ctx, m)
	case Poll:
		d.ask(ctx, &poll{req: m.Request, id: m.JobID})
	case Cancel:
		d.cancel(ctx, m)
	case MachineTypes:
		d.machineTypes = m
	case ShardCounts:
		d.countsByShard[m.Shard] = m.ByJob
	case readDone:
		d.readDone(ctx, m)
	case created:
		d.created(ctx, m)
	case finished:
		d.pendingRequests--
	case readNow:
		d.readPending = false
		d.read(ctx)
	case GetMetrics:
		d.metrics(m.Request)
	case PackingEnabled:
		d.sizeLimits.Packing = true
	case SetRelays:
		d.path.relays, d.path.relaysNamedAt = m.Relays, time.Now()
	case Tick:
		d.tick(ctx, time.Time(m))
	}
}

func (d *Server) applyUpdate(up records.Update) {
	for _, ch := range up.Changes {
		j, ok := ch.Record.(*records.Job)
		if !ok {
			continue
		}
		d.jobs[j.ID] = summarize(j)
	}
	d.appliedRevision = up.Revision
	d.storeDownUntil, d.path.directBlocked = time.Time{}, false
	kept := d.readPolls[:0]
	for _, p := range d.readPolls {
		if p.revision <= d.appliedRevision {
			d.answer(p)
		} else {
			kept = append(kept, p)
		}
	}
	clear(d.readPolls[len(kept):])
	d.readPolls = kept
}

func summarize(j *records.Job) jobSummary {
	k := jobSummary{endState: j.End, taskCount: j.Spec.Tasks}
	for _, ch := range j.Assignments {
		if ch.Closed {
			k.closedTasks += ch.Tasks()
		}
	}
	return k
}

// Refuse answers that the service cannot take the request now.
func Refuse(req Request, status int, why string) { refuse(req, status, why, constants.RetryAfterS) }

func refuse(req Request, status int, why string, retryAfterS int) {
	req.Respond(&httpwire.Response{Status: status, Body: body(wire.Problem{Error: why}), RetryAfterS: retryAfterS})
}

func body(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		slog.Error("encoding an answer", "err", err)
	}
	return b
}
