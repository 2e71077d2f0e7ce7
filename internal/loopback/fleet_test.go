package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ravenport/httpwire"
	"ravenport/server"
)

// requestTimeout is the time that a user waits for a reply.
const requestTimeout = 5 * time.Second

// leaseCheckInterval is the interval at which the fake store checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

// maxFakeServerConnections limits the connections of one fake server.
const maxFakeServerConnections = 10_000

// clientLimits limits the size of the replies that the fake workers and users read.
var clientLimits = httpwire.Limits{Header: 8 << 10, Body: 1 << 20}

// fleet is a running deployment: the controllers' processes and the fakes around them.
type fleet struct {
	deployment
	dir            string // directory of the controllers' settings, logs and histories
	program        string // path of the controller program
	controllers    []*controller
	store          *store
	cloud          *cloud
	observer       *observer
	cutFromWorkers []atomic.Bool // by controller: whether workers' heartbeats do not reach the controller
	links          *links        // nil: links cannot be cut

	// Counters of what workers sent and received.
	heartbeats     atomic.Int64
	directCommands atomic.Int64
	taskStarts     atomic.Int64

	mu            sync.Mutex
	taskDurations map[string]time.Duration    // by job; absent: the job's tasks run until stopped
	clients       map[string]*httpwire.Client // by worker and controller
	jobSeq        int                         // number of the latest job
}

// newFleet builds the program and starts the fakes and the controllers. The controllers and
// workers are terminated at the end of the test.
func newFleet(tb testing.TB, deployment deployment) *fleet {
	tb.Helper()
	nextSite(tb)
	observer := newObserver()
	fleet := &fleet{
		deployment:     deployment,
		dir:            tb.TempDir(),
		store:          newStore(observer),
		observer:       observer,
		cutFromWorkers: make([]atomic.Bool, deployment.numControllers()),
		taskDurations:  map[string]time.Duration{},
		clients:        map[string]*httpwire.Client{},
	}
	fleet.cloud = newCloud(deployment.zones, deployment.machines, func(m *machine) { go m.run(fleet) })
	fleet.cloud.lease = time.Duration(deployment.workerLeaseS * float64(time.Second))
	fleet.cloud.observer = observer
	serveFakes(tb, fleet)
	fleet.program = filepath.Join(fleet.dir, "ravenport")
	if output, err := exec.Command("go", "build", "-o", fleet.program, "ravenport/cmd/ravenport").CombinedOutput(); err != nil {
		tb.Fatalf("cannot build ravenport: %v\n%s", err, output)
	}
	if deployment.canPartition {
		fleet.links = newLinks(tb, deployment.numControllers())
	}
	for i := range deployment.numControllers() {
		c := fleet.configureController(tb, i)
		fleet.controllers = append(fleet.controllers, c)
		c.start(tb)
	}
	tb.Cleanup(func() {
		for _, c := range fleet.controllers {
			c.kill()
		}
		fleet.cloud.remove(fleet.cloud.names)
	})
	return fleet
}

// serveFakes serves the fake store and the fake cloud until the process ends.
func serveFakes(tb testing.TB, f *fleet) {
	tb.Helper()
	handlers := map[string]server.Handler{storeAddr(): f.store.handle, cloudAddr(): f.cloud.handle}
	for addr, handle := range handlers {
		s := server.New(addr, maxFakeServerConnections, handle)
		ended := make(chan error, 1)
		go func() { ended <- s.Run() }()
		select {
		case <-s.Ready():
		case err := <-ended:
			tb.Fatalf("fake server at %s: %v", addr, err)
		}
	}
	go func() {
		for range time.Tick(leaseCheckInterval) {
			f.store.expireLeases()
		}
	}()
}

// controllerIndex returns the index of the controller with a name, or -1 if there is none.
func (f *fleet) controllerIndex(name string) int {
	for i, c := range f.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// workerClient returns a worker's connection to a controller.
func (f *fleet) workerClient(m *machine, controller int) *httpwire.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := m.name + "/" + strconv.Itoa(controller)
	if f.clients[key] == nil {
		f.clients[key] = httpwire.NewClient(f.controllers[controller].serverAddr, 1, time.Second, clientLimits)
	}
	return f.clients[key]
}

// request sends a user's request to random controllers until one responds with a status
// of 2xx, and returns the body of the response.
func (f *fleet) request(method, path string, body []byte) []byte {
	for {
		c := f.controllers[rand.IntN(len(f.controllers))]
		client := httpwire.NewClient(c.serverAddr, 1, time.Second, clientLimits)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		response, err := client.Do(ctx, method, path, body)
		cancel()
		client.Close()
		if err == nil && response.Status < 300 {
			return response.Body
		}
		if err == nil && response.Status < 500 {
			panic(fmt.Sprintf("%s %s: status %d: %s", method, path, response.Status, response.Body))
		}
		time.Sleep(time.Second)
	}
}
