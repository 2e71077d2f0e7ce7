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

// fleet is the world around the controllers.
type fleet struct {
	deployment
	dir            string // settings, logs and histories of the controllers
	program        string // the built controller
	controllers    []*controller
	store          *store
	cloud          *cloud
	observer       *observer
	cutFromWorkers []atomic.Bool // by controller: workers' reports do not reach it
	links          *links        // nil: nothing can be cut

	heartbeats, directCommands, taskStarts atomic.Int64

	mu            sync.Mutex
	taskDurations map[string]time.Duration // by job; absent: it runs until stopped
	clients       map[string]*httpwire.Client
	jobSeq        int
}

// newFleet builds the program and starts everything.
func newFleet(b testing.TB, d deployment) *fleet {
	fleetCount++
	r := newObserver()
	f := &fleet{deployment: d, store: newStore(r), observer: r, taskDurations: map[string]time.Duration{}, clients: map[string]*httpwire.Client{}, cutFromWorkers: make([]atomic.Bool, d.numControllers())}
	f.cloud = newCloud(d.zones, d.machines, func(m *machine) { go m.run(f) })
	f.cloud.lease, f.cloud.observer = time.Duration(d.workerLeaseS*float64(time.Second)), r
	serveStandIns(b, f)
	dir := b.TempDir()
	f.dir, f.program = dir, filepath.Join(dir, "ravenport")
	if out, err := exec.Command("go", "build", "-o", f.program, "ravenport/cmd/ravenport").CombinedOutput(); err != nil {
		b.Fatalf("building: %v\n%s", err, out)
	}
	if d.canPartition {
		f.links = newLinks(b, d.numControllers())
	}
	for i := range d.numControllers() {
		c := f.configureController(b, dir, i)
		f.controllers = append(f.controllers, c)
		c.start(b)
	}
	b.Cleanup(func() {
		for _, c := range f.controllers {
			c.kill()
		}
		f.cloud.remove(f.cloud.names)
	})
	return f
}

// serveStandIns serves the state service and the cloud until the test ends.
func serveStandIns(b testing.TB, f *fleet) {
	for addr, handle := range map[string]server.Handler{storeAddr(): f.store.handle, cloudAddr(): f.cloud.handle} {
		s := server.New(addr, 10000, handle)
		ended := make(chan error, 1)
		go func() { ended <- s.Run() }()
		select {
		case <-s.Ready():
		case err := <-ended:
			b.Fatalf("a stand-in at %s: %v", addr, err)
		}
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			f.store.expireLeases()
		}
	}()
}

func (f *fleet) controllerIndex(name string) int {
	for i, c := range f.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// workerClient is a machine's connection to a controller.
func (f *fleet) workerClient(m *machine, node int) *httpwire.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := m.name + "/" + strconv.Itoa(node)
	if f.clients[key] == nil {
		f.clients[key] = httpwire.NewClient(f.controllers[node].serverAddr, 1, time.Second, httpwire.Limits{Header: 8 << 10, Body: 1 << 20})
	}
	return f.clients[key]
}

// request makes a user's request at any controller until one answers with 2xx, and returns
// the answer's body.
func (f *fleet) request(method, path string, body []byte) []byte {
	for {
		c := f.controllers[rand.IntN(len(f.controllers))]
		cl := httpwire.NewClient(c.serverAddr, 1, time.Second, httpwire.Limits{Header: 8 << 10, Body: 1 << 20})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		msg, err := cl.Do(ctx, method, path, body)
		cancel()
		cl.Close()
		if err == nil && msg.Status < 300 {
			return msg.Body
		}
		if err == nil && msg.Status < 500 {
			panic(fmt.Sprintf("%s %s: status %d: %s", method, path, msg.Status, msg.Body))
		}
		time.Sleep(time.Second)
	}
}
