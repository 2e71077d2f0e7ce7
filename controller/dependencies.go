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

// Store is a client of the key-value store. Its methods return the errors of package
// kvstore.
type Store interface {
	apiserver.Store
	// List returns all keys with a prefix and their values, and the store's revision.
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	// Watch returns the events after a revision. It waits for the first one.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error)
	// Grant creates a lease and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease. It returns kvstore.ErrLeaseExpired if the lease has ended.
	Renew(ctx context.Context, lease uint64) error
}

// Cloud is a client of the cloud. Its methods return the errors of package cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	// ScaleOut requests machines and returns the names of those that are being provisioned.
	ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error)
	ScaleIn(ctx context.Context, names []string) error
	Machines(ctx context.Context) ([]wire.CloudMachine, error)
}

// Workers sends direct commands to workers.
type Workers interface {
	// Send sends commands to the worker at an address. The function done is called with
	// the result on another goroutine.
	Send(ctx context.Context, addr string, req wire.CommandRequest, done func(worker.Result))
	// Disconnect closes the connections to the worker at an address.
	Disconnect(addr string)
	Close()
}

// Peer is a client of another controller.
type Peer interface {
	apiserver.Relay
	PushStatus(ctx context.Context, s peer.Status) (peer.StatusReply, error)
}

// MonitorPeer is a client of another controller for failure detection.
type MonitorPeer interface {
	Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error)
	Probe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error)
}

// DrainPeer is a client of another controller for requests about drains.
type DrainPeer interface {
	Drain(ctx context.Context, r peer.DrainRequest) (peer.DrainReply, error)
}

// History stores membership events.
type History interface {
	Append(events ...history.Event) error
}

// Dependencies holds the clients of all services that a controller calls.
type Dependencies struct {
	// Store is the client of the key-value store for users' writes and for reads. The
	// next three are clients of the same store with other shares of its rate limit.
	Store       Store
	Unthrottled Store // for the writes of leases, term acquisitions and revocations, which precede all others
	Background  Store // for writes that have lower priority than users' writes
	Urgent      Store // for writes whose delay users notice within seconds
	Cloud       Cloud
	Workers     func() Workers // called once for each shard owner
	// Peers, Monitors and Drains are the clients of the other controllers, by name.
	// Monitors is used if failure detection is on, and Drains if draining is on.
	Peers    map[string]Peer
	Monitors map[string]MonitorPeer
	Drains   map[string]DrainPeer
	// History stores the membership events of failure detection. If it is nil, the events
	// are not stored.
	History History
	// overrideDraining lets a test change an owner's draining configuration, to disable
	// the safeguards that keep disruptions within their budgets.
	overrideDraining func(*shard.DrainingConfig)
}
