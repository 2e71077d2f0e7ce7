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

// Heartbeat carries a heartbeat over the link to the other controller and back.
func (p simPeer) Heartbeat(ctx context.Context, m detector.Message) (detector.Message, error) {
	process, err := p.reachMonitor(ctx)
	if err != nil {
		return detector.Message{}, err
	}
	if p.from.world.chance(p.from.world.lateCopyShare) { // a copy of it comes late
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

// Probe carries a probe over the link to the other controller and back.
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
		<-ctx.Done() // a cut link shows only as silence
		return nil, err
	}
	if process.monitor == nil {
		return nil, peer.ErrDetectionDisabled
	}
	p.to.waitWhileFrozen()
	return process, nil
}

// supervise restarts a controller that ends itself, as a machine's supervisor does.
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

// enableDetection switches failure detection on at a controller that is started after this.
func (n *simController) enableDetection() {
	d, err := load.ParseDetection(nil)
	if err != nil {
		panic(err)
	}
	n.set.Detection = d
}

// stallOwner lets the owner of a zone's shard handle one message for so long.
func (n *simController) stallOwner(zone string, d time.Duration) {
	n.world.mu.Lock()
	process, name := n.process, ""
	for _, m := range n.world.machines {
		if m.zone == zone {
			name = m.name
		}
	}
	n.world.mu.Unlock()
	process.control.Tell(workerHeartbeat{sleepingAnswer(d), &wire.Heartbeat{Machine: name, Addr: name, Type: "box", Zone: zone}})
}

// sleepingAnswer is a request that takes as long to answer.
type sleepingAnswer time.Duration

func (d sleepingAnswer) Respond(*httpwire.Response) { time.Sleep(time.Duration(d)) }

// proposeRevocation has a controller take another one for failed, without any reason.
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

// owner is the number of the controller that owns a zone's shard.
func (w *world) owner(zone string) int { return w.termHolder(records.KeyShard(zone)) }

// term is the number of a zone's term.
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

// eventCount is how often something was seen.
func (w *world) eventCount(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.observed[what]
}

func (w *world) String() string { return fmt.Sprintf("%v", w.observed) }
