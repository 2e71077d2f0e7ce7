package controller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ravenport/detector"
	"ravenport/httpwire"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings/load"
	"ravenport/wire"
)

// Heartbeat sends a heartbeat to the other controller and returns its answer.
func (p simPeer) Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	process, err := p.reachMonitor(ctx)
	if err != nil {
		return detector.Message{}, err
	}
	if p.from.world.chance(p.from.world.lateCopyShare) { // a copy is delivered late
		go func() {
			time.Sleep(p.from.world.randomDuration(time.Second, 30*time.Second))
			if process := p.to.running(); process != nil && process.monitor != nil {
				process.monitor.Tell(peerHeartbeat{m, make(chan peerHeartbeatAnswer, 1)})
				p.from.world.locked(func() { p.from.world.observed["late heartbeats"]++ })
			}
		}()
	}
	answer, err := process.HandlePeerHeartbeat(ctx, m)
	p.from.waitWhileFrozen()
	return answer, err
}

// Probe sends a probe to the other controller and returns its answer.
func (p simPeer) Probe(ctx context.Context, r peer.ProbeRequest) (peer.ProbeReply, error) {
	process, err := p.reachMonitor(ctx)
	if err != nil {
		return peer.ProbeReply{}, err
	}
	answer, err := process.HandlePeerProbe(ctx, r)
	p.from.waitWhileFrozen()
	return answer, err
}

func (p simPeer) reachMonitor(ctx context.Context) (*Controller, error) {
	process, err := p.reach(ctx)
	if err != nil {
		<-ctx.Done() // over a broken link neither an answer nor an error arrives
		return nil, err
	}
	if process.monitor == nil {
		return nil, peer.ErrDetectionDisabled
	}
	p.to.waitWhileFrozen()
	return process, nil
}

// supervise restarts a controller that ends itself, as a process supervisor does.
func (n *simController) supervise(ctx context.Context, process *Controller) {
	select {
	case <-ctx.Done():
		return
	case err := <-process.Failed():
		n.world.locked(func() { n.world.observed["ended itself: "+strings.SplitN(err.Error(), ":", 2)[0]]++ })
	}
	n.kill()
	time.Sleep(2 * time.Second)
	select {
	case <-n.world.done:
	default:
		n.start()
	}
}

// enableDetection enables failure detection at the controller. It takes effect when the
// controller is started.
func (n *simController) enableDetection() {
	d, err := load.ParseDetection(nil)
	if err != nil {
		panic(err)
	}
	n.set.Detection = d
}

// stallOwner makes the owner of a zone's shard spend the duration d on one message.
func (n *simController) stallOwner(zone string, d time.Duration) {
	n.world.mu.Lock()
	process, name := n.process, ""
	for _, m := range n.world.machines {
		if m.zone == zone {
			name = m.name
		}
	}
	n.world.mu.Unlock()
	process.control.Tell(workerHeartbeat{slowRequest(d), &wire.Heartbeat{Machine: name, Addr: name, Type: "box", Zone: zone}})
}

// slowRequest is a request that takes this long to answer.
type slowRequest time.Duration

func (d slowRequest) Respond(*httpwire.Response) { time.Sleep(time.Duration(d)) }

// proposeRevocation makes a controller propose the revocation of another one, without any
// evidence that the other controller has failed.
func (w *world) proposeRevocation(by, of *simController) {
	process := by.running()
	if process == nil {
		return
	}
	w.mu.Lock()
	e := w.kv[records.KeyController(of.set.Controller)]
	w.mu.Unlock()
	if e == nil {
		return
	}
	record, err := records.Decode(records.KeyController(of.set.Controller), e.value)
	if err != nil {
		panic(err)
	}
	process.control.Tell([]detector.RevocationProposal{{Controller: of.set.Controller, Incarnation: record.(*records.Controller).Incarnation, Evidence: []detector.Evidence{"accused at random"}, Accusers: []string{by.set.Controller}}})
}

// owner returns the index of the controller that owns a zone's shard, or -1 if there is none.
func (w *world) owner(zone string) int { return w.termHolder(records.KeyShard(zone)) }

// term returns the number of the current term of a zone's shard, or 0 if there is none.
func (w *world) term(zone string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.kv[records.KeyShard(zone)]
	if e == nil {
		return 0
	}
	record, err := records.Decode(records.KeyShard(zone), e.value)
	if err != nil {
		panic(err)
	}
	return record.(*records.Term).Number
}

// eventCount returns how often an event was observed.
func (w *world) eventCount(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.observed[what]
}

func (w *world) String() string { return fmt.Sprintf("%v", w.observed) }
