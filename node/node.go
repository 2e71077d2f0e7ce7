package node

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"ravenport/actor"
	"ravenport/cloud"
	"ravenport/constants"
	"ravenport/frontdoor"
	"ravenport/httpwire"
	"ravenport/peer"
	"ravenport/server"
	"ravenport/settings"
	"ravenport/state"
	"ravenport/wire"
)

// Run runs a controller until ctx ends or a server fails.
func Run(ctx context.Context, set *settings.Settings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := state.NewClient(set.Services.State, set.Params.State.RPS, set.Params.State.WriteRPS)
	cl := cloud.NewClient(set.Services.Cloud, set.Params.Cloud.RPS/float64(max(1, len(set.Nodes()))))
	self, door := actor.NewRef(), actor.NewRef()
	c, err := newControl(set, store, cl, self, door)
	if err != nil {
		return err
	}
	d := frontdoor.New(set, store, door)
	go door.Run(ctx, d)
	go self.Run(ctx, c)
	go state.NewFeed(store, func(up state.Update) { self.Tell(up) }).Run(ctx)
	go every(ctx, constants.MemberTick, func(t time.Time) {
		self.Tell(tick(t))
		door.Tell(frontdoor.Tick(t))
	})
	failed := make(chan error, 2)
	go func() {
		failed <- peer.Serve(ctx, set.PeerAddr, func(s peer.Status) peer.Reply {
			self.Tell(peerStatus(s))
			return peer.Reply{Node: set.Node}
		})
	}()
	limit := set.Params.Limits.MaxConnections
	if limit <= 2*constants.ReservedSockets {
		limit = 4 * constants.ReservedSockets
	}
	srv := server.New(set.Listen, limit-constants.ReservedSockets, func(r *server.Request) { route(r, self, door) })
	go func() { failed <- srv.Run() }()
	slog.Info("controller started", "node", set.Node, "zone", set.Zone, "listen", set.Listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

func every(ctx context.Context, d time.Duration, f func(time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}

// route hands a request to the actor that answers it. It runs on the event
// loop and does not block.
func route(r *server.Request, control, door *actor.Ref) {
	path, _, _ := strings.Cut(r.Target, "?")
	methods := func(want string) bool {
		if r.Method == want {
			return true
		}
		r.Answer(&httpwire.Response{Status: 405, Allow: want, Body: []byte(`{"error":"method not allowed"}`)})
		return false
	}
	switch {
	case path == wire.PathReport:
		if !methods("POST") {
			return
		}
		rep, err := wire.ParseReport(r.Body)
		if err != nil {
			r.Answer(&httpwire.Response{Status: 400, Body: []byte(`{"error":"malformed report"}`)})
			return
		}
		control.Tell(beat{r, rep})
	case path == wire.PathHealth:
		if methods("GET") {
			control.Tell(health{r})
		}
	case path == wire.PathJobs:
		if methods("POST") {
			door.Tell(frontdoor.Submit{Req: r, Body: r.Body})
		}
	case strings.HasPrefix(path, wire.PathJobs+"/"):
		id, rest, sub := strings.Cut(path[len(wire.PathJobs)+1:], "/")
		switch {
		case sub && rest == wire.CancelSuffix:
			if !methods("POST") {
				return
			}
			if !wire.ValidJobID(id) {
				notFound(r)
				return
			}
			door.Tell(frontdoor.Cancel{Req: r, ID: id})
		case sub:
			notFound(r)
		default:
			if !methods("GET") {
				return
			}
			if !wire.ValidJobID(id) {
				notFound(r)
				return
			}
			door.Tell(frontdoor.Poll{Req: r, ID: id})
		}
	default:
		notFound(r)
	}
}

func notFound(r *server.Request) {
	r.Answer(&httpwire.Response{Status: 404, Body: []byte(`{"error":"not found"}`)})
}
