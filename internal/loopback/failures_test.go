package loopback

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// failure is a kind of failure of a shard's owner.
type failure struct {
	name string
	// inject makes the owner fail. repair ends the failure after the shard has moved.
	inject func(f *fleet, owner int)
	repair func(f *fleet, owner int)
	// harmless means that the shard must keep its owner for the duration.
	harmless bool
	duration time.Duration
	// needsDetection means that only failure detection notices the failure.
	needsDetection bool
}

// controllerFailures returns all kinds of failures. The figures in
// docs/failure-detection.md use the same names.
func controllerFailures(deployment deployment) []failure {
	kill := func(f *fleet, owner int) { f.controllers[owner].kill() }
	pause := func(f *fleet, owner int) { f.signalController(owner, syscall.SIGSTOP) }
	resume := func(f *fleet, owner int) { f.signalController(owner, syscall.SIGCONT) }
	cutStore := func(f *fleet, owner int) { f.links.store[owner].setCut(true) }
	repairStore := func(f *fleet, owner int) { f.links.store[owner].setCut(false) }
	setUnreachable := func(isCut bool) func(f *fleet, owner int) {
		return func(f *fleet, owner int) {
			f.cutFromWorkers[owner].Store(isCut)
			f.links.setInboundCut(owner, isCut)
		}
	}
	isolate := func(f *fleet, owner int) { f.links.setIsolated(owner, true) }
	rejoin := func(f *fleet, owner int) { f.links.setIsolated(owner, false) }
	harmlessDuration := 3 * deployment.controllerLeaseTTL
	flap := func(f *fleet, owner int) { go f.flapLinks(owner, harmlessDuration) }
	pauseAll := func(f *fleet, _ int) { go f.pauseAtRandom(harmlessDuration) }
	noRepair := func(*fleet, int) {}
	return []failure{
		{name: "killed", inject: kill, repair: (*fleet).restartController},
		{name: "frozen", inject: pause, repair: resume},
		{name: "cut from the state service", inject: cutStore, repair: repairStore},
		{name: "gray: unreachable for workers and controllers", needsDetection: true, inject: setUnreachable(true), repair: setUnreachable(false)},
		{name: "pause of half a lease", harmless: true, duration: deployment.controllerLeaseTTL / 2, inject: pause, repair: resume},
		{name: "cut from all controllers", harmless: true, duration: harmlessDuration, inject: isolate, repair: rejoin},
		{name: "links flap", harmless: true, duration: harmlessDuration, inject: flap, repair: noRepair},
		{name: "pauses of everybody", harmless: true, duration: harmlessDuration, inject: pauseAll, repair: noRepair},
	}
}

// flapLinks repeatedly cuts and repairs the links between a controller and the others.
func (f *fleet) flapLinks(controller int, d time.Duration) {
	isCut := true
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.links.setIsolated(controller, isCut)
		time.Sleep(time.Duration(100+rand.IntN(int(d.Milliseconds())/10)) * time.Millisecond)
		isCut = !isCut
	}
	f.links.setIsolated(controller, false)
}

// pauseAtRandom repeatedly pauses a randomly chosen controller, as on a machine with too
// little processor time.
func (f *fleet) pauseAtRandom(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		controller := rand.IntN(len(f.controllers))
		f.signalController(controller, syscall.SIGSTOP)
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
		f.signalController(controller, syscall.SIGCONT)
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// killForLeaseTTL kills a controller and starts it again after the duration of its lease.
func (f *fleet) killForLeaseTTL(controller int) {
	f.controllers[controller].kill()
	time.AfterFunc(f.controllerLeaseTTL, func() { f.restartController(controller) })
}

// pausePastLease pauses a controller for twice the duration of its lease.
func (f *fleet) pausePastLease(controller int) {
	c := f.controllers[controller]
	c.paused.Store(true)
	_ = c.process.Process.Signal(syscall.SIGSTOP) // the process may have ended by itself
	time.AfterFunc(2*f.controllerLeaseTTL, func() {
		_ = c.process.Process.Signal(syscall.SIGCONT)
		c.paused.Store(false)
	})
}

// partitionPastLease cuts a controller off from the store for twice the duration of its
// lease.
func (f *fleet) partitionPastLease(controller int) {
	link := f.links.store[controller]
	link.setCut(true)
	time.AfterFunc(2*f.controllerLeaseTTL, func() { link.setCut(false) })
}
