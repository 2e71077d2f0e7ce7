package controller

import (
	"context"
	"time"

	"ravenport/apiserver"
	"ravenport/detector"
	"ravenport/history"
	"ravenport/peer"
	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// Store is the key-value store as a controller uses it. Its errors are those of package
// kvstore.
type Store interface {
	apiserver.Store
	// List returns all keys with a prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	// Watch returns the events after a revision, waiting for the first one.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error)
	// Grant creates a lease and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease; the error is kvstore.ErrLeaseExpired if it is gone.
	Renew(ctx context.Context, lease uint64) error
}

// Cloud is the cloud as a controller uses it. Its errors are those of package cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	// ScaleOut returns the names of the machines that are on their way.
	ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error)
	ScaleIn(ctx context.Context, names []string) error
	Machines(ctx context.Context) ([]wire.CloudMachine, error)
}

// Workers sends direct commands to workers.
type Workers interface {
	// Send sends commands to the worker at an address; done is called with the result on
	// another goroutine.
	Send(ctx context.Context, addr string, req wire.CommandRequest, done func(worker.Result))
	// Forget drops the connection to a worker that is gone.
	Forget(addr string)
	Close()
}

// Peer is another controller.
type Peer interface {
	apiserver.Relay
	PushStatus(ctx context.Context, s peer.Status) (peer.StatusReply, error)
}

// MonitorPeer is another controller as failure detection calls it.
type MonitorPeer interface {
	Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error)
	Probe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error)
}

// DrainPeer is another controller as requests about drains call it.
type DrainPeer interface {
	Drain(ctx context.Context, r peer.DrainRequest) (peer.DrainReply, error)
}

// History stores membership events.
type History interface {
	Append(events ...history.Event) error
}

// Dependencies is everything that a controller calls.
type Dependencies struct {
	// Store is the key-value store, for users' writes and for reads. The other three are
	// the same store with other shares of its rate limit.
	Store       Store
	Unthrottled Store // for leases and term acquisitions, which come before all others
	Background  Store // for writes that give way to users' writes
	Urgent      Store // for writes that users wait for by the second
	Cloud       Cloud
	Workers     func() Workers // called once for each shard owner
	// Peers, Monitors and Drains are the other controllers, by name; the last two are
	// used where failure detection and draining are on.
	Peers    map[string]Peer
	Monitors map[string]MonitorPeer
	Drains   map[string]DrainPeer
	// History stores the membership events of failure detection; nil: nothing does.
	History History
	// overrideDraining lets a test take away what budgets rest on.
	overrideDraining func(*shard.DrainingConfig)
}
