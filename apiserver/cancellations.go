package apiserver

import (
	"context"
	"errors"
	"log/slog"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/wire"
)

// note tells control of a cancellation before any user hears of it. It runs beside
// the actor.
func (d *Server) note(rec *records.Job, revision uint64) {
	if rec.End == wire.JobCancelled {
		d.controller.Tell(JobCancelled{rec.ID, revision})
	}
}

func (d *Server) cancel(ctx context.Context, m Cancel) {
	if k, ok := d.jobs[m.JobID]; ok && k.endState != "" {
		m.Request.Respond(&httpwire.Response{Status: 200, Body: body(wire.Accepted{ID: m.JobID, Status: k.endState})})
		return
	}
	if d.pendingRequests >= constants.MaxPendingRequests {
		Refuse(m.Request, 429, "overloaded")
		return
	}
	d.pendingRequests++
	sizes := d.sizeLimits
	go func() {
		defer d.self.Tell(finished{})
		ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
		defer cancel()
		end, err := d.end(ctx, m.JobID, sizes)
		switch {
		case err != nil:
			Refuse(m.Request, 503, "state service away")
		case end == "":
			m.Request.Respond(&httpwire.Response{Status: 404, Body: body(wire.Problem{Error: "no such job"})})
		default:
			m.Request.Respond(&httpwire.Response{Status: 200, Body: body(wire.Accepted{ID: m.JobID, Status: end})})
		}
	}()
}

// end cancels a job that is not over and returns how it ended; empty if there
// is no such job. It runs beside the actor.
func (d *Server) end(ctx context.Context, id string, sizes records.SizeLimits) (string, error) {
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
			return "", kvstore.ErrRefused
		}
		txn := wire.Txn{
			Conditions: []wire.Condition{{Key: records.KeyJob(id), Version: version}},
			Changes:    []wire.Change{{Put: records.KeyJob(id), Value: value}},
		}
		revision, err := d.commit(ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			d.note(rec, revision)
			return rec.End, nil
		case errors.Is(err, kvstore.ErrInvalidRequest) && !sizes.Packing:
			sizes.Packing = true // the smaller limits have come, so all have this version
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
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
