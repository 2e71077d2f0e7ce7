package loopback

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// failure is a way for a controller to fail.
type failure struct {
	name string
	// inject brings it about, and mend ends it once the shard has moved.
	inject, repair func(f *fleet, owner int)
	// harmless: the shard must stay, for as long as moves or hold says.
	harmless bool
	// needsDetection: nothing but failure detection notices it.
	needsDetection bool
	duration       time.Duration
}

func controllerFailures(d deployment) []failure {
	nothing := func(*fleet, int) {}
	gray := func(is bool) func(f *fleet, owner int) {
		return func(f *fleet, owner int) { f.cutFromWorkers[owner].Store(is); f.links.setInboundCut(owner, is) }
	}
	return []failure{
		{name: "killed", inject: func(f *fleet, owner int) { f.controllers[owner].kill() },
			repair: func(f *fleet, owner int) { f.restartController(owner) }},
		{name: "frozen", inject: func(f *fleet, owner int) { f.signalController(owner, syscall.SIGSTOP) },
			repair: func(f *fleet, owner int) { f.signalController(owner, syscall.SIGCONT) }},
		{name: "cut from the state service", inject: func(f *fleet, owner int) { f.links.store[owner].setCut(true) },
			repair: func(f *fleet, owner int) { f.links.store[owner].setCut(false) }},
		{name: "gray: unreachable for workers and controllers", needsDetection: true, inject: gray(true), repair: gray(false)},
		{name: "pause of half a lease", harmless: true, duration: d.controllerLeaseTTL / 2, inject: func(f *fleet, owner int) { f.signalController(owner, syscall.SIGSTOP) },
			repair: func(f *fleet, owner int) { f.signalController(owner, syscall.SIGCONT) }},
		{name: "cut from all controllers", harmless: true, duration: 3 * d.controllerLeaseTTL,
			inject: func(f *fleet, owner int) { f.links.setInboundCut(owner, true); f.links.setOutboundCut(owner, true) },
			repair: func(f *fleet, owner int) { f.links.setInboundCut(owner, false); f.links.setOutboundCut(owner, false) }},
		{name: "links flap", harmless: true, duration: 3 * d.controllerLeaseTTL, repair: nothing, inject: func(f *fleet, owner int) { go f.flapLinks(owner, 3*d.controllerLeaseTTL) }},
		{name: "pauses of everybody", harmless: true, duration: 3 * d.controllerLeaseTTL, repair: nothing, inject: func(f *fleet, _ int) { go f.pauseAtRandom(3 * d.controllerLeaseTTL) }},
	}
}

// flapLinks cuts and mends a controller's links to the others again and again.
func (f *fleet) flapLinks(node int, d time.Duration) {
	for end, cut := time.Now().Add(d), true; time.Now().Before(end); cut = !cut {
		f.links.setInboundCut(node, cut)
		f.links.setOutboundCut(node, cut)
		time.Sleep(time.Duration(100+rand.IntN(int(d.Milliseconds())/10)) * time.Millisecond)
	}
	f.links.setInboundCut(node, false)
	f.links.setOutboundCut(node, false)
}

// pauseAtRandom stops every process for a part of the time, as on a machine with too little
// processor time.
func (f *fleet) pauseAtRandom(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		node := rand.IntN(len(f.controllers))
		f.signalController(node, syscall.SIGSTOP)
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
		f.signalController(node, syscall.SIGCONT)
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// killForLeaseTTL ends a controller, which is back after its lease's life.
func (f *fleet) killForLeaseTTL(node int) {
	f.controllers[node].kill()
	time.AfterFunc(f.controllerLeaseTTL, func() { f.restartController(node) })
}

// pausePastLease has a controller stand still past its lease.
func (f *fleet) pausePastLease(node int) {
	c := f.controllers[node]
	c.paused.Store(true)
	_ = c.process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(2*f.controllerLeaseTTL, func() { _ = c.process.Process.Signal(syscall.SIGCONT); c.paused.Store(false) })
}

// partitionPastLease cuts a controller from the state service past its lease.
func (f *fleet) partitionPastLease(node int) {
	link := f.links.store[node]
	link.setCut(true)
	time.AfterFunc(2*f.controllerLeaseTTL, func() { link.setCut(false) })
}
