// Package frontdoor answers users: submissions, polls and cancellations.
//
// What it tells is in the state service first. An answer that is not final
// comes from a read made for it: polls that arrive together share one read of
// the current revision and are answered once the feed has reached it.
package frontdoor

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/settings"
	"ravenport/state"
	"ravenport/wire"
)

// Store is what the front door needs of the state service.
type Store interface {
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Revision(ctx context.Context) (uint64, error)
}

// Request is one user's request and its way back.
type Request interface {
	Answer(*httpwire.Response)
}

// Messages to the front door.
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
	// Types carries the cloud's machine types.
	Types []wire.MachineType
	// Counts carries a part's counts of running and done tasks by job.
	Counts struct {
		Part string
		Jobs map[string][2]int
	}
	// Metrics asks for figures in the text format that Prometheus reads.
	Metrics struct{ Req Request }
	// Packs says that every controller reads packed records.
	Packs struct{}
	// Cancelled is what the front door tells of a cancellation that it knows of
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

// poll is a question about a job that waits for a read.
type poll struct {
	req      Request
	id       string
	came     time.Time
	revision uint64
	// missing decides what is answered if the job does not exist.
	missing func()
	direct  bool
}

// known is what the front door remembers of a job.
type known struct {
	end    string
	tasks  int
	closed int
	done   bool
}

// Door is the front door's actor.
type Door struct {
	set     *settings.Settings
	store   Store
	self    *actor.Ref
	jobs    map[string]known
	rev     uint64
	types   []wire.MachineType
	counts  map[string]map[string][2]int
	next    []*poll // arrived since the last read began
	reading bool
	readAt  time.Time     // when the last read began
	gap     time.Duration // between two reads
	waiting []*poll       // read, waiting for the feed
	busy    int           // requests that wait for the state service
	stats   stats
	control *actor.Ref // is told of cancellations
	sizes   state.Sizes
	down    time.Time // until then the state service counts as away
	relays  relaying
}

// New makes a front door that is spoken to through self and tells control of
// cancellations.
func New(set *settings.Settings, store Store, self, control *actor.Ref) *Door {
	return &Door{control: control, set: set, sizes: set.Sizes(), store: store, self: self, jobs: map[string]known{}, counts: map[string]map[string][2]int{}, stats: newStats(), gap: set.ReadGap()}
}

// Receive implements actor.Handler.
func (d *Door) Receive(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case state.Update:
		d.update(m)
	case Submit:
		d.submit(ctx, m)
	case Poll:
		d.ask(ctx, &poll{req: m.Req, id: m.ID})
	case Cancel:
		d.cancel(ctx, m)
	case Types:
		d.types = m
	case Counts:
		d.counts[m.Part] = m.Jobs
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
	case Packs:
		d.sizes.Packs = true
	case Relays:
		d.relays.to, d.relays.at = m.To, time.Now()
	case Tick:
		d.tick(ctx, time.Time(m))
	}
}

func (d *Door) update(up state.Update) {
	for _, ch := range up.Changes {
		j, ok := ch.Record.(*state.Job)
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

func summary(j *state.Job) known {
	k := known{end: j.End, tasks: j.Spec.Tasks}
	for _, ch := range j.Chunks {
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

// ask answers a poll: at once if the job is over, else after a read.
func (d *Door) ask(ctx context.Context, p *poll) {
	if k, ok := d.jobs[p.id]; ok && k.end != "" {
		d.tell(p, k)
		return
	}
	if !d.admits(p.id) {
		Refuse(p.req, 503, "overloaded")
		return
	}
	if time.Now().Before(d.down) {
		Refuse(p.req, 503, "state service away")
		return
	}
	d.busy++
	p.came = time.Now()
	d.next = append(d.next, p)
	d.read(ctx)
}

// admits says whether a poll may wait. Half of the room is anyone's, the other
// half is for a part of all jobs, another one every few seconds: whatever order
// they come in, no job's polls lose every time.
func (d *Door) admits(id string) bool {
	if d.busy < constants.MaxWaiting/2 {
		return true
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	turn := time.Now().Unix() / int64(constants.TurnLength.Seconds()) % constants.Turns
	return d.busy < constants.MaxWaiting && int64(h.Sum32()%constants.Turns) == turn
}

// read reads the current revision for all polls that wait for a read.
func (d *Door) read(ctx context.Context) {
	if d.reading || len(d.next) == 0 {
		return
	}
	d.reading = true
	if wait := d.readAt.Add(d.gap).Sub(time.Now()); wait > 0 {
		// The polls that come until then share one read.
		time.AfterFunc(wait, func() { d.self.Tell(readNow{}) })
		return
	}
	d.readAt = time.Now()
	polls := d.next
	d.next = nil
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.AnswerLimit)
		defer cancel()
		rev, err := d.store.Revision(ctx)
		d.self.Tell(readDone{polls, rev, err})
	}()
}

func (d *Door) readDone(ctx context.Context, m readDone) {
	d.reading = false
	limited := errors.Is(m.err, state.ErrLimited)
	if m.err != nil && !limited {
		d.down = time.Now().Add(constants.DownFor)
	}
	for _, p := range m.polls {
		switch {
		case limited && time.Since(p.came) < constants.AnswerLimit/2:
			d.next = append(d.next, p) // another read, with those that came since
		case m.err != nil:
			d.busy--
			Refuse(p.req, 503, "state service away")
		case m.revision <= d.rev:
			d.answer(p)
		default:
			p.revision = m.revision
			d.waiting = append(d.waiting, p)
		}
	}
	d.read(ctx)
}

// answer tells a poll what the feed knows, which is new enough for it.
func (d *Door) answer(p *poll) {
	d.busy--
	d.stats.poll.record(time.Since(p.came).Milliseconds())
	k, ok := d.jobs[p.id]
	if ok {
		d.tell(p, k)
		return
	}
	d.absent(p)
}

func (d *Door) absent(p *poll) {
	if p.missing != nil {
		p.missing()
		return
	}
	p.req.Answer(&httpwire.Response{Status: 404, Body: body(wire.Problem{Error: "no such job"})})
}

func (d *Door) tell(p *poll, k known) {
	s := wire.JobState{ID: p.id, Status: k.end, Done: k.closed}
	if k.end == "" {
		s.Status = wire.JobQueued
		for _, part := range d.counts {
			s.Running += part[p.id][0]
			s.Done += part[p.id][1]
		}
		s.Done = min(s.Done, k.tasks)
		s.Running = min(s.Running, k.tasks-s.Done)
		if s.Running > 0 {
			s.Status = wire.JobRunning
		}
	}
	p.req.Answer(&httpwire.Response{Status: 200, Body: body(s)})
}

// tick reads keys themselves for polls that the feed keeps waiting.
func (d *Door) tick(ctx context.Context, now time.Time) {
	kept := d.waiting[:0]
	for _, p := range d.waiting {
		if now.Sub(p.came) < constants.BarrierWait {
			kept = append(kept, p)
			continue
		}
		go d.direct(ctx, p)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// direct answers a poll from the key itself. It runs beside the actor and
// touches none of its state.
func (d *Door) direct(ctx context.Context, p *poll) {
	defer d.self.Tell(finished{})
	ctx, cancel := context.WithTimeout(ctx, constants.AnswerLimit)
	defer cancel()
	rec, version, err := d.fetch(ctx, p.id)
	switch {
	case err != nil:
		Refuse(p.req, 503, "state service away")
	case rec == nil:
		d.absent(p)
	default:
		d.note(rec, version)
		k := summary(rec)
		s := wire.JobState{ID: p.id, Status: k.end, Done: k.closed}
		if k.end == "" {
			s.Status = wire.JobQueued
		}
		p.req.Answer(&httpwire.Response{Status: 200, Body: body(s)})
	}
}

// note tells control of a cancellation before any user hears of it. It runs beside
// the actor.
func (d *Door) note(rec *state.Job, revision uint64) {
	if rec.End == wire.JobCancelled {
		d.control.Tell(Cancelled{rec.ID, revision})
	}
}

func (d *Door) fetch(ctx context.Context, id string) (*state.Job, uint64, error) {
	kv, found, err := d.store.Get(ctx, state.KeyJob(id))
	if err != nil || !found {
		return nil, 0, err
	}
	v, err := state.Decode(state.KeyJob(id), kv.Value)
	if err != nil {
		return nil, 0, err
	}
	return v.(*state.Job), kv.Version, nil
}

func (d *Door) submit(ctx context.Context, m Submit) {
	s, id, err := wire.ParseSubmission(m.Body)
	status, problem := 0, wire.Problem{}
	if err != nil {
		status, problem = 400, wire.Problem{Error: err.Error()}
		var fe *wire.FieldError
		if errors.As(err, &fe) {
			problem.Field = fe.Field
		}
		if id == "" {
			m.Req.Answer(&httpwire.Response{Status: status, Body: body(problem)})
			return
		}
	} else if !d.sizes.Storable(&state.Job{Spec: s, AcceptedMS: time.Now().UnixMilli()}, d.set.Params.Zones) {
		status, problem = 422, wire.Problem{Error: "too long to be stored"}
	} else if len(d.types) == 0 {
		status = 503
	} else if why := d.impossible(&s); why != "" {
		status, problem = 422, wire.Problem{Error: why}
	}
	if _, ok := d.jobs[id]; ok || status != 0 {
		// A repeat of an accepted job is recognised before anything else.
		d.ask(ctx, &poll{req: m.Req, id: id, missing: func() {
			if status == 0 || status == 503 {
				Refuse(m.Req, 503, "not ready")
				return
			}
			m.Req.Answer(&httpwire.Response{Status: status, Body: body(problem)})
		}})
		return
	}
	if d.busy >= constants.MaxWaiting {
		Refuse(m.Req, 429, "overloaded")
		return
	}
	came := time.Now()
	relays := d.relays.known(came)
	if came.Before(d.down) && len(relays) == 0 {
		Refuse(m.Req, 503, "state service away")
		return
	}
	d.busy++
	shut := d.relays.shut
	rec := state.Job{Spec: s, AcceptedMS: time.Now().UnixMilli()}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: state.KeyJob(s.ID), Version: 0}},
		Then: []wire.Change{{Put: state.KeyJob(s.ID), Value: state.Encode(rec)}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.AnswerLimit)
		defer cancel()
		shut, err := d.accept(ctx, txn, shut, relays)
		d.self.Tell(created{s, m.Req, err, shut, came})
	}()
}

func (d *Door) created(ctx context.Context, m created) {
	d.busy--
	d.relays.shut = d.relays.shut || m.shut
	took := time.Since(m.came).Milliseconds()
	var conflict *state.Conflict
	switch {
	case m.err == nil:
		d.stats.accepted++
		d.stats.submit.record(took)
		slog.Debug("job accepted", "job", m.s.ID, "class", m.s.Class, "tasks", m.s.Tasks, "took_ms", took)
		m.req.Answer(&httpwire.Response{Status: 201, Body: body(wire.Accepted{ID: m.s.ID, Status: wire.JobQueued})})
	case errors.As(m.err, &conflict):
		d.ask(ctx, &poll{req: m.req, id: m.s.ID, missing: func() { Refuse(m.req, 503, "not ready") }})
	default:
		// Perhaps it was stored all the same; then the user's repeat finds it.
		d.stats.refused++
		if errors.Is(m.err, state.ErrInvalid) {
			slog.Error("submission found invalid by the state service", "job", m.s.ID, "err", m.err)
			m.req.Answer(&httpwire.Response{Status: 422, Body: body(wire.Problem{Error: "too long to be stored"})})
			return
		}
		slog.Info("submission refused", "job", m.s.ID, "took_ms", took, "err", m.err)
		if errors.Is(m.err, state.ErrLimited) {
			// Many come at once: they are told to come back at different times.
			refuse(m.req, 503, "too many submissions", constants.RetryAfterS+rand.IntN(constants.RetrySpreadS))
			return
		}
		d.down = time.Now().Add(constants.DownFor)
		Refuse(m.req, 503, "state service away")
	}
}

// commit writes what a user waits for. A refusal for the allowance alone is
// tried again for a moment; one because the state service is away is the
// user's answer, at once.
func (d *Door) commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	err = state.RetryLimited(ctx, constants.AllowanceWait, constants.RetryMin/2, constants.RetryMin, func() (err error) {
		revision, err = d.store.Commit(ctx, txn)
		return err
	})
	return revision, err
}

// impossible says why a job can never run; empty if it can.
func (d *Door) impossible(s *wire.Submission) string {
	t := d.set.Team(s.Team)
	if t == nil {
		return "unknown team"
	}
	tasks := 1.0
	if s.Whole() {
		tasks = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && s.CPUs*tasks > t.CPUsMax+1e-9 || t.GPUsMax > 0 && s.GPUs*tasks > t.GPUsMax+1e-9 {
		return "more than the team's limit"
	}
	if s.Zone != "" && !slices.Contains(d.set.Params.Zones, s.Zone) {
		return "unknown zone"
	}
	if s.OneZone && s.Spread && s.Tasks > 1 {
		return "one_zone and scatter exclude each other"
	}
	zones := map[string]bool{} // where a task may run
	for _, mt := range d.types {
		if len(s.Types) > 0 && !slices.Contains(s.Types, mt.Name) {
			continue
		}
		if s.CPUs <= mt.CPUs && s.GPUs <= mt.GPUs && s.MemoryGB <= mt.MemoryGB {
			in := mt.Zones
			if len(in) == 0 {
				in = d.set.Params.Zones // it is not said where
			}
			for _, z := range in {
				if s.Zone == "" || s.Zone == z {
					zones[z] = true
				}
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "a task fits no allowed machine type"
	case s.Whole() && s.Spread && s.Tasks > 1 && len(zones) == 1:
		// Half of its tasks may be in a zone, and all run at the same time. Of an
		// array the rest may follow.
		return "all tasks would be in one zone, and scatter forbids it"
	}
	return ""
}

func (d *Door) cancel(ctx context.Context, m Cancel) {
	if k, ok := d.jobs[m.ID]; ok && k.end != "" {
		m.Req.Answer(&httpwire.Response{Status: 200, Body: body(wire.Accepted{ID: m.ID, Status: k.end})})
		return
	}
	if d.busy >= constants.MaxWaiting {
		Refuse(m.Req, 429, "overloaded")
		return
	}
	d.busy++
	sizes := d.sizes
	go func() {
		defer d.self.Tell(finished{})
		ctx, cancel := context.WithTimeout(ctx, constants.AnswerLimit)
		defer cancel()
		end, err := d.end(ctx, m.ID, sizes)
		switch {
		case err != nil:
			Refuse(m.Req, 503, "state service away")
		case end == "":
			m.Req.Answer(&httpwire.Response{Status: 404, Body: body(wire.Problem{Error: "no such job"})})
		default:
			m.Req.Answer(&httpwire.Response{Status: 200, Body: body(wire.Accepted{ID: m.ID, Status: end})})
		}
	}()
}

// end cancels a job that is not over and returns how it ended; empty if there
// is no such job. It runs beside the actor.
func (d *Door) end(ctx context.Context, id string, sizes state.Sizes) (string, error) {
	for {
		rec, version, err := d.fetch(ctx, id)
		if err != nil {
			return "", err
		}
		if rec == nil {
			return "", nil
		}
		if rec.End != "" {
			d.note(rec, version)
			return rec.End, nil
		}
		was := *rec
		rec.End = wire.JobCancelled
		value, ok := sizes.Encode(rec, &was)
		if !ok {
			slog.Error("job's record does not fit", "job", id, "bytes", len(value))
			return "", state.ErrRefused
		}
		txn := wire.Txn{
			If:   []wire.Condition{{Key: state.KeyJob(id), Version: version}},
			Then: []wire.Change{{Put: state.KeyJob(id), Value: value}},
		}
		revision, err := d.commit(ctx, txn)
		var conflict *state.Conflict
		switch {
		case err == nil:
			d.note(rec, revision)
			return rec.End, nil
		case errors.Is(err, state.ErrInvalid) && !sizes.Packs:
			sizes.Packs = true // the smaller limits have come, so all have this version
		case errors.As(err, &conflict), errors.Is(err, state.ErrUnknown):
			// Another change came first, or it is not known whether this one
			// was made: the key itself tells.
			if ctx.Err() != nil {
				return "", err
			}
		default:
			return "", err
		}
	}
}
