package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/internal/disruptioncheck"
	"ravenport/kvstore"
	"ravenport/peer"
	"ravenport/settings"
	"ravenport/settings/load"
	"ravenport/shard"
	"ravenport/wire"
)

// world simulates the key-value store, the cloud, the workers and the users of a deployment
// and checks the rules of the protocol. All of them run on the virtual clock of a synctest
// bubble.
type world struct {
	mu   sync.Mutex // guards all fields of the world and of its parts
	rng  *rand.Rand
	done chan struct{} // closed when the simulation ends

	controllers []*simController
	jobs        map[string]*simJob
	gangs       map[string]*simGang // by job and attempt

	// The key-value store.
	kv           map[string]*storeEntry
	revision     uint64
	storeEvents  []wire.Event
	leases       map[uint64]*simLease
	leaseSeq     uint64
	storeChanged chan struct{} // closed and replaced at each change

	// The cloud.
	machines     map[string]*simWorker
	requests     map[string][]string // machines by the id of their scale-out request
	machineCount int
	capacity     map[string]int // by zone and kind

	// How the deployment is configured and how it behaves.
	times            workerTimes
	workerInterval   time.Duration                   // between two steps of a worker; 0: 100 ms
	bootWithin       time.Duration                   // the longest boot time of a machine; 0: boots take 4 s to 13 s
	reliableCloud    bool                            // all machines boot, and the answers to scale-out requests are not lost
	onScaleIn        func(by *simController)         // called when a controller requests a scale-in, with the lock held
	zoneTypes        map[string]string               // by zone: the machine type that the cloud offers there; a zone without an entry: "box"
	changeSubmission func(i int, s *wire.Submission) // changes the i-th job of a random run; nil: no change
	spotReplicas     bool                            // services may run on spot machines
	healthyMachines  map[string]bool                 // on all other machines every task fails; nil: all machines are healthy
	limitsLowered    bool                            // the store enforces the lower limits that the settings announce
	oversizedWrites  map[string]int                  // by key: writes that exceeded the limits

	// Faults.
	storeOutage        bool
	storeLatency       time.Duration // added to each call
	cloudUnavailable   bool
	partitionedZone    string  // its machines and controllers reach no other zone, nor the store and the cloud; empty: none
	answerLossShare    float64 // share of answers from workers and to workers that are lost at random; 0: 2% and 1%
	noAnswerLoss       bool    // no answer from a worker or to a worker is lost at random
	lateCommandShare   float64 // share of direct commands that are delayed, and share of those delivered twice
	lostAnswerShare    float64 // share of transactions that are applied at once but whose answer is lost
	lateWriteShare     float64 // share of transactions that get no answer and are applied seconds later, after newer ones
	repeatedWriteShare float64 // share of transactions that are applied a second time later
	lateCopyShare      float64 // share of heartbeats of which a copy is delivered up to three leases later
	keepHeartbeats     bool    // all heartbeats are kept, for replayHeartbeats
	keptHeartbeats     []*wire.Heartbeat
	faultFreeSince     time.Time // when the last fault ended; zero: faults may be active

	// Protections of the protocol that a test can disable, to show that the checks notice.
	protectionDisabled bool   // one of these protections is disabled
	ignoreConditions   bool   // the key-value store ignores the conditions of transactions
	ignoreTokens       bool   // workers accept commands with any fencing token
	ignoreWorkerLeases bool   // workers do not end their tasks when their lease expires
	ignoreScaleIn      bool   // the cloud terminates no machine
	hideCancellations  bool   // replies between controllers carry no cancellations
	skipAuthorityWait  bool   // stored lease TTLs are shortened, so that no controller waits until a revoked owner's authority has ended
	makeCopiesCurrent  bool   // late copies of heartbeats get the current epoch, sequence number and token
	unansweredJob      string // users get no answer to polls for this job

	// Results of the checks, and events that were counted.
	violations []string
	record     eventRecord
	reasons    *terminationReasons // nil: terminations are not counted by reason
	starts     int
	gangStarts int
	restarts   int // of tasks that had run before; only some tests count these
	// ignoreTasksHungPastLease: tasks on a machine that hung past its lease count as ended. They
	// cannot continue, since the worker ends them before it does anything else. While no
	// owner has authority, no controller can terminate the machine.
	ignoreTasksHungPastLease bool
	disruption               *disruptioncheck.Check // nil: stops of tasks are not checked
	interruptions            *disruptioncheck.Check // checks the stops of array tasks and gangs; nil: they are not checked
	unitsEverRunning         map[string]bool        // units that have run while interruptions was set
	observed                 map[string]int         // number of events by name, for scenarios to check
}

// workerTimes are the times of a deployment that the rules depend on: the interval between
// heartbeats, the lease of a worker, and the limit for ending the tasks of a cancelled job.
type workerTimes struct {
	reportS, leaseS, cancelS float64
}

// The times of random runs (lease of 20 s), and the times of the two deployments that scenarios
// simulate (leases of 26 s and 36 s).
var (
	lease20Times = workerTimes{3, 20, 45}
	lease26Times = workerTimes{5, 26, 56}
	lease36Times = workerTimes{8, 36, 61}
)

func (t workerTimes) lease() time.Duration { return settings.Seconds(t.leaseS) }

func (t workerTimes) cancelWithin() time.Duration { return settings.Seconds(t.cancelS) }

// simController is a controller of the deployment: its settings, its process if one is running,
// and its faults.
type simController struct {
	world               *world
	set                 *settings.Settings
	process             *Controller
	cancel              context.CancelFunc
	cutFromStore        bool
	cutFromWorkers      bool      // no heartbeat of a worker reaches it, and none of its commands reaches a worker
	cutFromPeers        bool      // calls between it and the other controllers fail
	heartbeatsLost      bool      // heartbeats do not reach it, while its commands reach the workers
	peerCallsLost       bool      // calls of other controllers do not reach it, while its own calls reach them
	heartbeatAnsweredAt time.Time // when the last heartbeat that it answered was sent
	heartbeatReceivedAt time.Time // when it last received a heartbeat
	frozenUntil         time.Time
	// overrideDraining disables protections of the disruption budgets; nil: none is disabled.
	overrideDraining func(*shard.DrainingConfig)
}

// isPartitioned reports whether a network partition separates a zone from a controller.
// The caller holds the lock.
func (w *world) isPartitioned(zone string, n *simController) bool {
	return (zone == w.partitionedZone) != (n.set.Zone == w.partitionedZone)
}

// waitWhileFrozen blocks a call of the controller while the controller is frozen.
func (n *simController) waitWhileFrozen() {
	for {
		n.world.mu.Lock()
		d := time.Until(n.frozenUntil)
		n.world.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(min(d, 20*time.Millisecond)) // the freeze may be ended early
	}
}

// freeze suspends a controller while its clocks keep running. Messages arrive, but its actors
// handle none of them. Its calls wait before they are sent and again before their results are
// returned.
func (n *simController) freeze(d time.Duration) {
	w := n.world
	w.mu.Lock()
	process := n.process
	n.frozenUntil = time.Now().Add(d)
	w.note("controller frozen", n.set.Controller, d.String())
	var onePerZone []*simWorker
	for _, z := range n.set.Deployment.Zones {
		for _, m := range w.machines {
			if m.zone == z {
				onePerZone = append(onePerZone, m)
				break
			}
		}
	}
	w.mu.Unlock()
	if process == nil {
		return
	}
	for _, m := range onePerZone { // the control actor forwards this to the owner of the shard if that runs here
		process.control.Tell(workerHeartbeat{frozenRequest{n}, &wire.Heartbeat{Machine: m.name, Addr: m.name, Type: "box", Zone: m.zone}})
	}
	process.control.Tell(healthRequest{frozenRequest{n}})
	process.apiServer.Tell(apiserver.GetMetrics{Request: frozenRequest{n}})
}

// frozenRequest is a request that blocks the actor that answers it while the controller is
// frozen.
type frozenRequest struct{ n *simController }

func (s frozenRequest) Respond(*httpwire.Response) { s.n.waitWhileFrozen() }

func newWorld(seed uint64, zones []string, controllers int) *world {
	return newWorldWithTimes(seed, zones, controllers, lease20Times)
}

func newWorldWithTimes(seed uint64, zones []string, controllers int, timing workerTimes) *world {
	w := &world{
		times: timing,
		rng:   rand.New(rand.NewPCG(seed, 7)), kv: map[string]*storeEntry{}, leases: map[uint64]*simLease{}, storeChanged: make(chan struct{}),
		machines: map[string]*simWorker{}, requests: map[string][]string{}, capacity: map[string]int{}, gangs: map[string]*simGang{}, oversizedWrites: map[string]int{}, jobs: map[string]*simJob{}, done: make(chan struct{}), lateCommandShare: 0.15,
		lostAnswerShare: 0.01, lateWriteShare: 0.01, repeatedWriteShare: 0.02, lateCopyShare: 0.03, observed: map[string]int{},
	}
	var toml strings.Builder
	for i := range controllers {
		w.controllers = append(w.controllers, &simController{world: w})
		toml.Reset()
		fmt.Fprintf(&toml, "node = \"n-%d\"\ndomain = %q\nbind = \"10.0.0.%d:80\"\nback = \"10.0.0.%d:81\"\n", i, zones[i%len(zones)], i+1, i+1)
		for k := range controllers {
			if k != i {
				fmt.Fprintf(&toml, "[[siblings]]\nnode = \"n-%d\"\ndomain = %q\npeer_addr = \"10.0.0.%d:81\"\n", k, zones[k%len(zones)], k+1)
			}
		}
		toml.WriteString("[outside]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n[facts]\n")
		fmt.Fprintf(&toml, "size = %d\nzones = [\"%s\"]\n", controllers, strings.Join(zones, "\", \""))
		toml.WriteString("[[facts.teams]]\nname = \"free\"\n[[facts.teams]]\nname = \"tight\"\ncpus = 4.0\ncpus_max = 10.0\n")
		fmt.Fprintf(&toml, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n", timing.reportS, timing.leaseS, timing.cancelS)
		toml.WriteString("gang_wait_s = 15.0\ngang_peer_s = 4.0\n[facts.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n[facts.state.next]\nvalue_kb = 1.0\ntxn_ops = 2\n[facts.cloud]\nrps = 10.0\nlist_lag_s = 5.0\n")
		if seed%2 == 1 { // as on small machines, which acquire a second shard later
			toml.WriteString("[facts.machine_limits]\ncpu = 0.09\n")
		}
		set, err := load.ParseSettings([]byte(toml.String()))
		if err != nil {
			panic(err)
		}
		set.Operator.SpotIdleTimeout, set.Operator.OnDemandIdleTimeout = 15*time.Second, 25*time.Second
		w.controllers[i].set = set
	}
	for _, z := range zones {
		w.capacity[z+"/spot"], w.capacity[z+"/on-demand"] = 3, 3
	}
	return w
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *world) randomDuration(lo, hi time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

// violate records the violation of a rule. The caller holds the lock.
func (w *world) violate(rule, format string, args ...any) {
	violation := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, violation)
	slog.Error("rule broken", "rule", rule, "what", violation)
}

func (n *simController) start() {
	ctx, cancel := context.WithCancel(context.Background())
	deps := Dependencies{Store: &simStore{n}, Unthrottled: &simStore{n}, Background: &simStore{n}, Urgent: &simStore{n}, Cloud: &simCloud{n}, Workers: func() Workers { return &simCommands{n} }, Peers: map[string]Peer{}, Monitors: map[string]MonitorPeer{}, Drains: map[string]DrainPeer{}}
	for _, o := range n.world.controllers {
		if o != n {
			deps.Peers[o.set.Controller] = simPeer{n, o}
			deps.Monitors[o.set.Controller] = simPeer{n, o}
			deps.Drains[o.set.Controller] = simPeer{n, o}
		}
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.process != nil { // a second process must not run under the same name
		cancel()
		return
	}
	deps.overrideDraining = n.overrideDraining
	process, err := Start(ctx, n.set, deps)
	if err != nil {
		panic(err)
	}
	n.process, n.cancel = process, cancel
	n.world.note("controller starts", n.set.Controller, "")
	go n.supervise(ctx, process)
}

func (n *simController) kill() {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.process != nil {
		n.cancel()
		n.process = nil
		n.world.note("controller ends", n.set.Controller, "")
	}
}

func (n *simController) running() *Controller {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.process
}

// simPeer is the link from one controller to another.
type simPeer struct{ from, to *simController }

// reach returns the process of the other controller, or an error if that controller is not
// running or the link to it is down.
func (p simPeer) reach(ctx context.Context) (*Controller, error) {
	time.Sleep(p.from.world.randomDuration(time.Millisecond, 4*time.Millisecond))
	process := p.to.running()
	p.from.world.mu.Lock()
	linkDown := p.from.cutFromPeers || p.to.cutFromPeers || p.from.world.isPartitioned(p.from.set.Zone, p.to) || p.to.peerCallsLost
	p.from.world.mu.Unlock()
	if process == nil || ctx.Err() != nil || linkDown {
		return nil, fmt.Errorf("%w: unreachable", kvstore.ErrOutcomeUnknown)
	}
	p.from.waitWhileFrozen()
	return process, nil
}

func (p simPeer) PushStatus(ctx context.Context, s peer.Status) (peer.StatusReply, error) {
	process, err := p.reach(ctx)
	if err != nil {
		return peer.StatusReply{}, err
	}
	p.to.waitWhileFrozen()
	r := process.HandlePeerStatus(s)
	if p.from.world.hideCancellations {
		r.LatestCancellation, r.Cancellations = 0, nil
	}
	p.from.waitWhileFrozen()
	return r, nil
}

// Commit relays a transaction through the other controller.
func (p simPeer) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	process, err := p.reach(ctx)
	if err != nil {
		return 0, err
	}
	r := process.HandlePeerCommit(ctx, t)
	p.from.waitWhileFrozen()
	p.from.world.locked(func() { p.from.world.observed["relayed "+string(r.Outcome)]++ })
	return r.Result()
}
