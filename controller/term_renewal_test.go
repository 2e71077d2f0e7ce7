package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/actor"
)

// An owner whose term's numbers are nearly used up acquires a new term itself, and the tasks on
// its machines keep running.
func TestOwnerRenewsExhaustedTerm(t *testing.T) {
	expectNoRestarts(t, 3, 6, func(w *world) {
		for range 3 {
			owner, term := w.owner("a"), w.term("a")
			w.controllers[owner].running().control.Tell(newTermRequest{"a"})
			time.Sleep(20 * time.Second)
			if w.owner("a") != owner || w.term("a") != term+1 {
				t.Errorf("owner %d, term %d became owner %d, term %d", owner, term, w.owner("a"), w.term("a"))
			}
		}
	})
}

// messageRecorder records the messages that an actor receives.
type messageRecorder []any

func (m *messageRecorder) Receive(_ context.Context, msg any) { *m = append(*m, msg) }

// An owner's actor requests a new term, and repeats the request until it has one.
func TestOwnerAsksForNewTerm(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, []string{"a", "b"}, 3)
		out := Dependencies{Store: &simStore{w.controllers[0]}, Unthrottled: &simStore{w.controllers[0]}, Background: &simStore{w.controllers[0]}, Urgent: &simStore{w.controllers[0]},
			Cloud: &simCloud{w.controllers[0]}, Workers: func() Workers { return &simCommands{w.controllers[0]} }, Peers: map[string]Peer{}}
		control := actor.NewRef()
		c := newControlActor(w.controllers[0].set, out, control, actor.NewRef(), nil)
		a := newShardActor(c, "a", heldTerm{number: 3, version: 7}, time.Now())
		a.core.LimitTermCounters(0, 0)
		for range 5 {
			time.Sleep(2 * time.Second)
			a.Receive(t.Context(), wake{})
		}
		var got messageRecorder
		go control.Run(t.Context(), &got)
		synctest.Wait()
		asked := 0
		for _, m := range got {
			if x, ok := m.(newTermRequest); ok && x.shard == "a" {
				asked++
			}
		}
		if asked < 4 {
			t.Errorf("the new term was requested %d times, wanted at least 4", asked)
		}
	})
}
