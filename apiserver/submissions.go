package apiserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

func (d *Server) submit(ctx context.Context, m Submit) {
	s, id, err := wire.ParseSubmission(m.Body)
	status, problem := 0, wire.Problem{}
	if err != nil {
		status, problem = 400, wire.Problem{Error: err.Error()}
		var fe *wire.FieldError
		if errors.As(err, &fe) {
			problem.Field = fe.Field
		}
		if id == "" {
			m.Request.Respond(&httpwire.Response{Status: status, Body: body(problem)})
			return
		}
	} else if !d.sizeLimits.Storable(&records.Job{Spec: s, AcceptedMS: time.Now().UnixMilli()}, d.settings.Deployment.Zones) {
		status, problem = 422, wire.Problem{Error: "too long to be stored"}
	} else if len(d.machineTypes) == 0 {
		status = 503
	} else if why := d.impossible(&s); why != "" {
		status, problem = 422, wire.Problem{Error: why}
	}
	if _, ok := d.jobs[id]; ok || status != 0 {
		// A repeat of an accepted job is recognised before anything else.
		d.ask(ctx, &poll{req: m.Request, id: id, missing: func() {
			if status == 0 || status == 503 {
				Refuse(m.Request, 503, "not ready")
				return
			}
			m.Request.Respond(&httpwire.Response{Status: status, Body: body(problem)})
		}})
		return
	}
	if d.pendingRequests >= constants.MaxPendingRequests {
		Refuse(m.Request, 429, "overloaded")
		return
	}
	came := time.Now()
	relays := d.path.currentRelays(came)
	if came.Before(d.storeDownUntil) && len(relays) == 0 {
		Refuse(m.Request, 503, "state service away")
		return
	}
	d.pendingRequests++
	shut := d.path.directBlocked
	rec := records.Job{Spec: s, AcceptedMS: time.Now().UnixMilli()}
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: records.KeyJob(s.ID), Version: 0}},
		Changes:    []wire.Change{{Put: records.KeyJob(s.ID), Value: records.Encode(rec)}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		shut, err := d.accept(ctx, txn, shut, relays)
		d.self.Tell(created{s, m.Request, err, shut, came})
	}()
}

func (d *Server) created(ctx context.Context, m created) {
	d.pendingRequests--
	d.path.directBlocked = d.path.directBlocked || m.shut
	took := time.Since(m.came).Milliseconds()
	var conflict *kvstore.ConflictError
	switch {
	case m.err == nil:
		d.stats.accepted++
		d.stats.submit.record(took)
		slog.Debug("job accepted", "job", m.s.ID, "class", m.s.Class, "tasks", m.s.Tasks, "took_ms", took)
		m.req.Respond(&httpwire.Response{Status: 201, Body: body(wire.Accepted{ID: m.s.ID, Status: wire.JobQueued})})
	case errors.As(m.err, &conflict):
		d.ask(ctx, &poll{req: m.req, id: m.s.ID, missing: func() { Refuse(m.req, 503, "not ready") }})
	default:
		// Perhaps it was stored all the same; then the user's repeat finds it.
		d.stats.refused++
		if errors.Is(m.err, kvstore.ErrInvalidRequest) {
			slog.Error("submission found invalid by the state service", "job", m.s.ID, "err", m.err)
			m.req.Respond(&httpwire.Response{Status: 422, Body: body(wire.Problem{Error: "too long to be stored"})})
			return
		}
		slog.Info("submission refused", "job", m.s.ID, "took_ms", took, "err", m.err)
		if errors.Is(m.err, kvstore.ErrRateLimited) {
			// Many come at once: they are told to come back at different times.
			refuse(m.req, 503, "too many submissions", constants.RetryAfterS+rand.IntN(constants.RetryAfterJitterS))
			return
		}
		d.storeDownUntil = time.Now().Add(constants.StoreFailureBackoff)
		Refuse(m.req, 503, "state service away")
	}
}

// commit writes what a user waits for. A refusal for the allowance alone is
// tried again for a moment; one because the state service is away is the
// user's answer, at once.
func (d *Server) commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	err = kvstore.RetryRateLimited(ctx, constants.RateLimitWait, constants.RetryBackoffMin/2, constants.RetryBackoffMin, func() (err error) {
		revision, err = d.store.Commit(ctx, txn)
		return err
	})
	return revision, err
}

// impossible says why a job can never run; empty if it can.
func (d *Server) impossible(s *wire.Submission) string {
	t := d.settings.Team(s.Team)
	if t == nil {
		return "unknown team"
	}
	tasks := 1.0
	if s.AllOrNothing() {
		tasks = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && s.CPUs*tasks > t.CPUsMax+1e-9 || t.GPUsMax > 0 && s.GPUs*tasks > t.GPUsMax+1e-9 {
		return "more than the team's limit"
	}
	if s.Zone != "" && !slices.Contains(d.settings.Deployment.Zones, s.Zone) {
		return "unknown zone"
	}
	if s.OneZone && s.Spread && s.Tasks > 1 {
		return "one_zone and scatter exclude each other"
	}
	zones := map[string]bool{} // where a task may run
	for _, mt := range d.machineTypes {
		if len(s.Types) > 0 && !slices.Contains(s.Types, mt.Name) {
			continue
		}
		if s.CPUs <= mt.CPUs && s.GPUs <= mt.GPUs && s.MemoryGB <= mt.MemoryGB {
			in := mt.Zones
			if len(in) == 0 {
				in = d.settings.Deployment.Zones // it is not said where
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
	case s.AllOrNothing() && s.Spread && s.Tasks > 1 && len(zones) == 1:
		// Half of its tasks may be in a zone, and all run at the same time. Of an
		// array the rest may follow.
		return "all tasks would be in one zone, and scatter forbids it"
	}
	return ""
}
