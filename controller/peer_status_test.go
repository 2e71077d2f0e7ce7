package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/actor"
	"ravenport/kvstore"
	"ravenport/peer"
	"ravenport/wire"
)

// countingPeer counts the statuses that it receives.
type countingPeer struct{ received atomic.Int32 }

func (p *countingPeer) PushStatus(context.Context, peer.Status) (peer.StatusReply, error) {
	p.received.Add(1)
	return peer.StatusReply{}, nil
}

func (p *countingPeer) Commit(context.Context, wire.Txn) (uint64, error) {
	return 0, kvstore.ErrNotExecuted
}

// A shard whose figures change continuously still pushes its status to each peer about once a
// second. Otherwise an owner that its workers cannot reach would not learn that other
// controllers receive their heartbeats.
func TestBusyShardStillPushesStatusToAll(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, []string{"a", "b"}, 3)
		peers := map[string]*countingPeer{"n-1": {}, "n-2": {}}
		out := Dependencies{Peers: map[string]Peer{}}
		for name, p := range peers {
			out.Peers[name] = p
		}
		c := newControlActor(w.controllers[0].set, out, actor.NewRef(), actor.NewRef(), nil)
		for range 100 {
			c.push.changed = true
			c.pushStatus(t.Context(), time.Now())
			time.Sleep(200 * time.Millisecond)
			synctest.Wait()
			clear(c.push.inFlight) // as if the peers had responded
		}
		for name, p := range peers {
			if n := p.received.Load(); n < 15 || n > 25 {
				t.Errorf("%s received %d statuses in 20 s, wanted about one a second", name, n)
			}
		}
	})
}
