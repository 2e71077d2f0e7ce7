package controller

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/cloud"
	"ravenport/constants"
	"ravenport/history"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/server"
	"ravenport/settings"
	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// Read-only paths for operators, beside the protocol's own.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
)

// Store is the state service as a controller uses it.
type Store interface {
	apiserver.Store
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error)
	Grant(ctx context.Context, life time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
}

// Cloud is the cloud as a controller uses it.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error)
	ScaleIn(ctx context.Context, names []string) error
	Machines(ctx context.Context) ([]wire.CloudMachine, error)
}

// Workers sends direct commands; done is called on another goroutine.
type Workers interface {
	Send(ctx context.Context, addr string, req wire.CommandRequest, done func(worker.Result))
	Forget(addr string)
	Close()
}

// Peer is another controller.
type Peer interface {
	apiserver.Relay
	PushStatus(ctx context.Context, s peer.Status) (peer.StatusReply, error)
}

// Dependencies is everything a controller calls.
type Dependencies struct {
	Store       Store
	Unthrottled Store // the same, for leases and claims, which come before all others
	Background  Store // and for writes that leave users' writes the way
	Urgent      Store // and for those that users count the seconds of
	Cloud       Cloud
	Workers     func() Workers // one for each owner
	Peers       map[string]Peer
	// Monitors are the other controllers, and History, if there is one, keeps what
	// becomes of them, where failure detection is on.
	Monitors map[string]MonitorPeer
	History  History
	// Drains are the other controllers, where machines are drained.
	Drains map[string]DrainPeer
	// drainingGuards lets a test take away what budgets rest on.
	drainingGuards func(*shard.DrainingConfig)
}

// Controller is one controller without its servers.
type Controller struct {
	name               string
	store              Store
	control, apiServer *actor.Ref
	monitor            *actor.Ref // nil: failure detection is off
	monitorPeers       map[string]MonitorPeer
	failures           chan error
	drainService       *drainService // nil: draining is off
}

// Start starts a controller's actors; they run until ctx ends.
func Start(ctx context.Context, set *settings.Settings, out Dependencies) (*Controller, error) {
	n := &Controller{name: set.Controller, store: out.Store, control: actor.NewRef(), apiServer: actor.NewRef(), monitorPeers: out.Monitors, failures: make(chan error, 1)}
	if set.Detection != nil {
		if err := n.startMonitor(ctx, set, out); err != nil {
			return nil, err
		}
	}
	if set.Draining != nil {
		n.drainService = &drainService{name: set.Controller, control: n.control, store: out.Store, cloud: out.Cloud, peers: out.Drains, stableAfter: set.Draining.Policy.StableAfter}
	}
	c := newControlActor(set, out, n.control, n.apiServer, n.monitor)
	go n.apiServer.Run(ctx, apiserver.New(set, out.Store, n.apiServer, n.control))
	go n.control.Run(ctx, c)
	go kvstore.NewFeed(out.Store, set.WatchInterval(), func(up records.Update) { n.control.Tell(up) }).Run(ctx)
	go runEvery(ctx, constants.MembershipTickInterval, func(t time.Time) {
		n.control.Tell(controlTick(t))
		n.apiServer.Tell(apiserver.Tick(t))
	})
	return n, nil
}

// startMonitor starts failure detection.
func (n *Controller) startMonitor(ctx context.Context, set *settings.Settings, out Dependencies) error {
	n.monitor = actor.NewRef()
	m, err := newMonitorActor(set, out, n.monitor, n.control, n.failures)
	if err != nil {
		return err
	}
	if out.History != nil {
		m.history = actor.NewRef()
		go m.history.Run(ctx, historyWriter{out.History})
	}
	go n.monitor.Run(ctx, m)
	go runEvery(ctx, constants.MembershipTickInterval, func(t time.Time) { n.monitor.Tell(monitorTick(t)) })
	return nil
}

// HandlePeerStatus takes in what another controller tells of itself, and answers
// whether it is promised what it asks for.
func (n *Controller) HandlePeerStatus(s peer.Status) peer.StatusReply {
	if len(s.ExtensionRequest) == 0 {
		n.control.Tell(peerStatusReceived(s))
		return peer.StatusReply{Controller: n.name}
	}
	answer := make(chan peer.StatusReply, 1)
	n.control.Tell(extensionRequest{s, answer})
	t := time.NewTimer(constants.PeerTimeout)
	defer t.Stop()
	select {
	case r := <-answer:
		return r
	case <-t.C:
		return peer.StatusReply{Controller: n.name}
	}
}

// HandlePeerCommit writes a submission for another controller that is kept from the state
// service.
func (n *Controller) HandlePeerCommit(ctx context.Context, t wire.Txn) peer.CommitReply {
	if !records.CreatesJob(t) {
		return peer.CommitReply{Outcome: peer.OutcomeInvalid}
	}
	ctx, cancel := context.WithTimeout(ctx, constants.UserRequestTimeout)
	defer cancel()
	return peer.NewCommitReply(n.store.Commit(ctx, t))
}

// Run runs a controller with its servers until ctx ends or one of them fails.
func Run(ctx context.Context, set *settings.Settings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limits := set.StoreLimits()
	store := kvstore.NewClient(set.Services.Store, limits.RPS, limits.WriteRPS)
	out := Dependencies{
		Store:       store,
		Unthrottled: store.Unthrottled(),
		Background:  store.Background(),
		Urgent:      store.Urgent(),
		Cloud:       cloud.NewClient(set.Services.Cloud, set.CloudCallRate()),
		Workers:     func() Workers { return worker.NewClient() },
		Peers:       map[string]Peer{},
	}
	if err := connectPeers(set, &out); err != nil {
		return err
	}
	defer openHistory(set, &out)()
	n, err := Start(ctx, set, out)
	if err != nil {
		return err
	}
	handlers := peer.Handlers{Status: n.HandlePeerStatus, Commit: n.HandlePeerCommit}
	if n.monitor != nil {
		handlers.Detection = peer.DetectionHandlers{Heartbeat: n.HandlePeerHeartbeat, Probe: n.HandlePeerProbe}
	}
	if n.drainService != nil {
		handlers.Drain = n.drainService.Answer
	}
	failed := make(chan error, 2)
	go func() { failed <- peer.Serve(ctx, set.PeerAddr, handlers) }()
	serverSockets := set.SocketLimits().Server
	srv := server.New(set.Listen, serverSockets, n.route)
	go func() { failed <- srv.Run() }()
	slog.Info("controller started", "node", set.Controller, "zone", set.Zone, "listen", set.Listen)
	select {
	case err := <-failed:
		return err
	case err := <-n.Failed():
		return err
	case <-ctx.Done():
		return nil
	}
}

// connectPeers prepares the connections to the other controllers.
func connectPeers(set *settings.Settings, out *Dependencies) error {
	out.Monitors = map[string]MonitorPeer{}
	out.Drains = map[string]DrainPeer{}
	for _, p := range set.Peers {
		client, err := peer.Dial(p.Addr)
		if err != nil {
			return err
		}
		out.Peers[p.Controller] = client
		out.Monitors[p.Controller] = client
		out.Drains[p.Controller] = client
	}
	return nil
}

// openHistory opens the file of membership events, if one is asked for, and returns
// what closes it. One that is damaged, or cannot be opened, is reported and keeps
// nobody from starting.
func openHistory(set *settings.Settings, out *Dependencies) func() {
	if set.Detection == nil || set.Detection.HistoryPath == "" {
		return func() {}
	}
	file, err := history.Open(set.Detection.HistoryPath, set.Detection.HistorySize)
	var damage *history.DamageError
	switch {
	case errors.As(err, &damage):
		slog.Warn("membership history is damaged", "err", damage)
	case err != nil:
		slog.Error("membership history cannot be kept", "err", err)
		return func() {}
	}
	out.History = file
	return file.Close
}

func runEvery(ctx context.Context, d time.Duration, f func(time.Time)) {
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
func (n *Controller) route(r *server.Request) {
	path, _, _ := strings.Cut(r.Target, "?")
	methods := func(want string) bool {
		if r.Method == want {
			return true
		}
		r.Respond(&httpwire.Response{Status: 405, Allow: want, Body: []byte(`{"error":"method not allowed"}`)})
		return false
	}
	switch {
	case path == wire.PathHeartbeat:
		if !methods("POST") {
			return
		}
		rep, err := wire.ParseHeartbeat(r.Body)
		if err != nil {
			r.Respond(&httpwire.Response{Status: 400, Body: []byte(`{"error":"malformed report"}`)})
			return
		}
		n.control.Tell(workerHeartbeat{r, rep})
	case path == wire.PathHealth:
		if methods("GET") {
			n.control.Tell(healthRequest{r})
		}
	case path == wire.PathJobs:
		if methods("POST") {
			n.apiServer.Tell(apiserver.Submit{Request: r, Body: r.Body})
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
			n.apiServer.Tell(apiserver.Cancel{Request: r, JobID: id})
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
			n.apiServer.Tell(apiserver.Poll{Request: r, JobID: id})
		}
	case path == PathStatus:
		if methods("GET") {
			n.control.Tell(statusRequest{r})
		}
	case path == PathMetrics:
		if methods("GET") {
			n.apiServer.Tell(apiserver.GetMetrics{Request: r})
		}
	default:
		notFound(r)
	}
}

func notFound(r *server.Request) {
	r.Respond(&httpwire.Response{Status: 404, Body: []byte(`{"error":"not found"}`)})
}
