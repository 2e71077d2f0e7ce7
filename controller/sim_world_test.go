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

// world simulates the key-value store, the cloud, workers and users of a deployment, and
// checks the protocol's rules. Everything in it runs on the virtual clock of a synctest
// bubble.
type world struct {
	mu   sync.Mutex // guards everything in it
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

	// What goes on in the deployment.
	times           workerTimes
	workerInterval  time.Duration           // between two steps of a worker; 0: 100 ms
	bootWithin      time.Duration           // machines are up within this after their scale-out request; 0: after seconds
	reliableCloud   bool                    // machines come up, and scale-out requests are answered
	onScaleIn       func(by *simController) // called as a scale-in is decided, with the lock held
	spotReplicas    bool                    // services may run on spot machines
	healthyMachines map[string]bool         // all others end every task with an error; nil: all are sound
	limitsLowered   bool                    // the limits that settings announce are in force
	oversizedWrites map[string]int          // by key: writes that were over them

	// Faults.
	storeOutage        bool
	storeLatency       time.Duration // added to each call
	cloudUnavailable   bool
	partitionedZone    string  // cut off from all others; empty: none is
	answerLossShare    float64 // share of answers of workers, and to them, that are lost by chance; 0: as usual
	noAnswerLoss       bool    // no answer of a worker, or to one, is lost by chance
	lateCommandShare   float64 // share of direct commands that are held back, and of those that come twice
	lostAnswerShare    float64 // share of transactions carried out at once whose answer is lost
	lateWriteShare     float64 // share of transactions without answer, carried out seconds later, after newer ones
	repeatedWriteShare float64 // share of transactions carried out once more, later
	lateCopyShare      float64 // share of heartbeats of which a copy comes again, up to three leases later
	keepHeartbeats     bool    // all heartbeats are kept, to come again
	keptHeartbeats     []*wire.Heartbeat
	faultFreeSince     time.Time // when all faults were over

	// Guards of the protocol that a test may take away, to see that the checks notice.
	protectionDisabled bool   // one of these is taken away
	ignoreConditions   bool   // the key-value store ignores versions
	ignoreTokens       bool   // workers take commands under any token
	ignoreWorkerLeases bool   // workers never end their tasks at the end of a lease
	ignoreScaleIn      bool   // the cloud terminates no machine
	hideCancellations  bool   // controllers do not tell each other of cancellations
	skipAuthorityWait  bool   // nobody waits for a revoked holder's authority to end
	makeCopiesCurrent  bool   // late copies of heartbeats count as new ones
	unansweredJob      string // nobody gets an answer about this job

	// What is checked, and what was observed.
	violations []string
	record     eventRecord
	reasons    *terminationReasons // nil: terminations are not counted by reason
	starts     int
	gangStarts int
	restarts   int // of tasks that ran already, where a test counts them
	// ignoreTasksHungPastLease: what is on a machine that hung past its lease counts as gone. It
	// cannot go on, since the worker ends it before anything else, and where no
	// owner may act nobody can terminate the machine.
	ignoreTasksHungPastLease bool
	disruption               *disruptioncheck.Check // nil: stops are not checked
	interruptions            *disruptioncheck.Check // checks the stops of arrays and gangs; nil: nothing does
	unitsEverRunning         map[string]bool        // units that interruptions has seen run
	observed                 map[string]int         // events by name, for scenarios to check
}

// workerTimes are a deployment's workerTimes that the rules depend on, and its limit on a
// team.
type workerTimes struct {
	reportS, leaseS, cancelS float64
}

// The generated days' own times, and those of deployments whose scenarios are played.
var (
	lease20Times = workerTimes{3, 20, 45}
	lease26Times = workerTimes{5, 26, 56}
	lease36Times = workerTimes{8, 36, 61}
)

func (t workerTimes) lease() time.Duration { return settings.Seconds(t.leaseS) }

func (t workerTimes) cancelWithin() time.Duration { return settings.Seconds(t.cancelS) }

type simController struct {
	world               *world
	set                 *settings.Settings
	process             *Controller
	cancel              context.CancelFunc
	cutFromStore        bool
	cutFromWorkers      bool      // from workers
	cutFromPeers        bool      // from the other controllers
	heartbeatsLost      bool      // heartbeats do not reach it, though it reaches the workers
	peerCallsLost       bool      // other controllers' calls do not reach it, though its own reach them
	heartbeatAnsweredAt time.Time // when a heartbeat to it was last answered
	heartbeatReceivedAt time.Time // and when one last came to it
	frozenUntil         time.Time
	// overrideDraining takes away what budgets rest on; nil: nothing is.
	overrideDraining func(*shard.DrainingConfig)
}

// isPartitioned says whether a zone and a controller are on two sides of a cut-off
// zone's border. The caller holds the lock.
func (w *world) isPartitioned(zone string, n *simController) bool {
	return (zone == w.partitionedZone) != (n.set.Zone == w.partitionedZone)
}

// waitWhileFrozen is where a controller's calls wait while it is frozen.
func (n *simController) waitWhileFrozen() {
	for {
		n.world.mu.Lock()
		d := time.Until(n.frozenUntil)
		n.world.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(min(d, 20*time.Millisecond)) // it may move on sooner than was meant
	}
}

// freeze freezes a controller while its clocks run on: its actors
// handle nothing, though messages come in, and its calls wait before and after
// the outside has carried them out.
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
	for _, m := range onePerZone { // through control to the owner, if it is here
		process.control.Tell(workerHeartbeat{frozenRequest{n}, &wire.Heartbeat{Machine: m.name, Addr: m.name, Type: "box", Zone: m.zone}})
	}
	process.control.Tell(healthRequest{frozenRequest{n}})
	process.apiServer.Tell(apiserver.GetMetrics{Request: frozenRequest{n}})
}

// frozenRequest is a request whose answer takes an actor as long as its controller
// is frozen.
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
		if seed%2 == 1 { // as if on small machines, which take over a second shard late
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

// violate records a broken rule. The caller holds the lock.
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
	if n.process != nil { // never two processes under one name
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

type simPeer struct{ from, to *simController }

// reach goes over the link to the other controller, if it is open.
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

// Commit has the other controller write.
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
