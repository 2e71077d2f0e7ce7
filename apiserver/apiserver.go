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
	Answer(*httpwire.Response)
}

// Messages to the API server.
type (
	// Submit carries a submission's body.
	Submit struct {
		Req  Request
		Body []byte
	}
	// Poll asks for a job's state.
	Poll struct {
		Req Request
		ID  string
	}
	// Cancel asks to cancel a job.
	Cancel struct {
		Req Request
		ID  string
	}
	// MachineTypes carries the cloud's machine types.
	MachineTypes []wire.MachineType
	// Counts carries a shard's counts of running and done tasks by job.
	Counts struct {
		Shard string
		Jobs  records.CountsByJob
	}
	// Metrics asks for figures in the text format that Prometheus reads.
	Metrics struct{ Req Request }
	// PackingEnabled says that every controller reads packed records.
	PackingEnabled struct{}
	// Cancelled is what the API server tells of a cancellation that it knows of
	// beside the feed, before it tells any user.
	Cancelled struct {
		ID       string
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

// known is what the API server remembers of a job.
type known struct {
	end    string
	tasks  int
	closed int
}

// Server is the API server's actor.
type Server struct {
	set     *settings.Settings
	store   Store
	self    *actor.Ref
	jobs    map[string]known
	rev     uint64
	types   []wire.MachineType
	counts  map[string]records.CountsByJob
	next    []*poll // arrived since the last read began
	reading bool
	readAt  time.Time     // when the last read began
	gap     time.Duration // between two reads
	waiting []*poll       // read, waiting for the feed
	busy    int           // requests that wait for the state service
	stats   stats
	control *actor.Ref // is told of cancellations
	sizes   records.SizeLimits
	down    time.Time // until then the state service counts as away
	relays  relaying
}

// New makes an API server that is spoken to through self and tells control of
// cancellations.
func New(set *settings.Settings, store Store, self, control *actor.Ref) *Server {
	return &Server{control: control, set: set, sizes: set.RecordSizeLimits(), store: store, self: self, jobs: map[string]known{}, counts: map[string]records.CountsByJob{}, stats: newStats(), gap: set.WatchInterval()}
}

// Receive implements actor.Handler.
func (d *Server) Receive(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case records.Update:
		d.update(m)
	case Submit:
		d.submit(ctx, m)
	case Poll:
		d.ask(ctx, &poll{req: m.Req, id: m.ID})
	case Cancel:
		d.cancel(ctx, m)
	case MachineTypes:
		d.types = m
	case Counts:
		d.counts[m.Shard] = m.Jobs
	case readDone:
		d.readDone(ctx, m)
	case created:
		d.created(ctx, m)
	case finished:
		d.busy--
	case readNow:
		d.reading = false
		d.read(ctx)
	case Metrics:
		d.metrics(m.Req)
	case PackingEnabled:
		d.sizes.Packing = true
	case SetRelays:
		d.relays.to, d.relays.at = m.To, time.Now()
	case Tick:
		d.tick(ctx, time.Time(m))
	}
}

func (d *Server) update(up records.Update) {
	for _, ch := range up.Changes {
		j, ok := ch.Record.(*records.Job)
		if !ok {
			continue
		}
		d.jobs[j.ID] = summary(j)
	}
	d.rev = up.Revision
	d.down, d.relays.shut = time.Time{}, false
	kept := d.waiting[:0]
	for _, p := range d.waiting {
		if p.revision <= d.rev {
			d.answer(p)
		} else {
			kept = append(kept, p)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

func summary(j *records.Job) known {
	k := known{end: j.End, tasks: j.Spec.Tasks}
	for _, ch := range j.Assignments {
		if ch.Closed {
			k.closed += ch.Tasks()
		}
	}
	return k
}

// Refuse answers that the service cannot take the request now.
func Refuse(req Request, status int, why string) { refuse(req, status, why, constants.RetryAfterS) }

func refuse(req Request, status int, why string, retryAfterS int) {
	req.Answer(&httpwire.Response{Status: status, Body: body(wire.Problem{Error: why}), RetryAfterS: retryAfterS})
}

func body(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		slog.Error("encoding an answer", "err", err)
	}
	return b
}
