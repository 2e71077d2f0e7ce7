package apiserver

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

// poll is a question about a job that waits for a read.
type poll struct {
	req      Request
	id       string
	came     time.Time
	revision uint64
	// missing decides what is answered if the job does not exist.
	missing func()
}

// ask answers a poll: at once if the job is over, else after a read.
func (d *Server) ask(ctx context.Context, p *poll) {
	if k, ok := d.jobs[p.id]; ok && k.endState != "" {
		d.tell(p, k)
		return
	}
	if !d.admits(p.id) {
		Refuse(p.req, 503, "overloaded")
		return
	}
	if time.Now().Before(d.storeDownUntil) {
		Refuse(p.req, 503, "state service away")
		return
	}
	d.pendingRequests++
	p.came = time.Now()
	d.unreadPolls = append(d.unreadPolls, p)
	d.read(ctx)
}

// admits says whether a poll may wait. Half of the room is anyone's, the other
// half is for a part of all jobs, another one every few seconds: whatever order
// they come in, no job's polls lose every time.
func (d *Server) admits(id string) bool {
	if d.pendingRequests < constants.MaxPendingRequests/2 {
		return true
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	turn := time.Now().Unix() / int64(constants.PollGroupTurn.Seconds()) % constants.PollGroups
	return d.pendingRequests < constants.MaxPendingRequests && int64(h.Sum32()%constants.PollGroups) == turn
}

// read reads the current revision for all polls that wait for a read.
func (d *Server) read(ctx context.Context) {
	if d.readPending || len(d.unreadPolls) == 0 {
		return
	}
	d.readPending = true
	if wait := time.Until(d.lastReadAt.Add(d.readInterval)); wait > 0 {
		// The polls that come until then share one read.
		time.AfterFunc(wait, func() { d.self.Tell(readNow{}) })
		return
	}
	d.lastReadAt = time.Now()
	polls := d.unreadPolls
	d.unreadPolls = nil
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		rev, err := d.store.Revision(ctx)
		d.self.Tell(readDone{polls, rev, err})
	}()
}

func (d *Server) readDone(ctx context.Context, m readDone) {
	d.readPending = false
	limited := errors.Is(m.err, kvstore.ErrRateLimited)
	if m.err != nil && !limited {
		d.storeDownUntil = time.Now().Add(constants.StoreFailureBackoff)
	}
	for _, p := range m.polls {
		switch {
		case limited && time.Since(p.came) < constants.UserRequestTimeout/2:
			d.unreadPolls = append(d.unreadPolls, p) // another read, with those that came since
		case m.err != nil:
			d.pendingRequests--
			Refuse(p.req, 503, "state service away")
		case m.revision <= d.appliedRevision:
			d.answer(p)
		default:
			p.revision = m.revision
			d.readPolls = append(d.readPolls, p)
		}
	}
	d.read(ctx)
}

// answer tells a poll what the feed knows, which is new enough for it.
func (d *Server) answer(p *poll) {
	d.pendingRequests--
	d.stats.poll.record(time.Since(p.came).Milliseconds())
	k, ok := d.jobs[p.id]
	if ok {
		d.tell(p, k)
		return
	}
	d.absent(p)
}

func (d *Server) absent(p *poll) {
	if p.missing != nil {
		p.missing()
		return
	}
	p.req.Respond(&httpwire.Response{Status: 404, Body: body(wire.Problem{Error: "no such job"})})
}

func (d *Server) tell(p *poll, k jobSummary) {
	s := wire.JobState{ID: p.id, Status: k.endState, Done: k.closedTasks}
	if k.endState == "" {
		s.Status = wire.JobQueued
		var tasks records.TaskCounts
		for _, jobs := range d.countsByShard {
			tasks = tasks.Plus(jobs[p.id])
		}
		s.Done = min(s.Done+tasks.Done(), k.taskCount)
		s.Running = min(tasks.Running(), k.taskCount-s.Done)
		if s.Running > 0 {
			s.Status = wire.JobRunning
		}
	}
	p.req.Respond(&httpwire.Response{Status: 200, Body: body(s)})
}

// tick reads keys themselves for polls that the feed keeps waiting.
func (d *Server) tick(ctx context.Context, now time.Time) {
	kept := d.readPolls[:0]
	for _, p := range d.readPolls {
		if now.Sub(p.came) < constants.FeedCatchUpTimeout {
			kept = append(kept, p)
			continue
		}
		go d.direct(ctx, p)
	}
	clear(d.readPolls[len(kept):])
	d.readPolls = kept
}

// direct answers a poll from the key itself. It runs beside the actor and
// touches none of its state.
func (d *Server) direct(ctx context.Context, p *poll) {
	defer d.self.Tell(finished{})
	ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
	defer cancel()
	rec, version, err := d.fetch(ctx, p.id)
	switch {
	case err != nil:
		Refuse(p.req, 503, "state service away")
	case rec == nil:
		d.absent(p)
	default:
		d.note(rec, version)
		k := summarize(rec)
		s := wire.JobState{ID: p.id, Status: k.endState, Done: k.closedTasks}
		if k.endState == "" {
			s.Status = wire.JobQueued
		}
		p.req.Respond(&httpwire.Response{Status: 200, Body: body(s)})
	}
}

func (d *Server) fetch(ctx context.Context, id string) (*records.Job, uint64, error) {
	kv, found, err := d.store.Get(ctx, records.KeyJob(id))
	if err != nil || !found {
		return nil, 0, err
	}
	v, err := records.Decode(records.KeyJob(id), kv.Value)
	if err != nil {
		return nil, 0, err
	}
	return v.(*records.Job), kv.Version, nil
}
