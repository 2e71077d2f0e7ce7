package apiserver

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/actor"
	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/wire"
)

// pathStub is a path to the store that returns the same error for every write and counts
// the writes.
type pathStub struct {
	slowStore
	err    error
	writes int
}

func (w *pathStub) Commit(context.Context, wire.Txn) (uint64, error) {
	w.writes++
	return 5, w.err
}

func submission(id string) []byte {
	body, err := json.Marshal(map[string]any{"uid": id, "lane": "c", "crew": "team", "shape": "sweep", "rank": "standard", "pieces": 1, "cpus": 1.0, "cards": 0.0,
		"mem_gb": 1.0, "kit": "i", "pull_gb": 1.0, "one_zone": false, "scatter": false, "loaners": false, "guess_s": 1.0, "mark_every_s": 0.0, "stow_s": 0.0})
	if err != nil {
		panic(err)
	}
	return body
}

// A submission is written through another controller if only this controller cannot reach
// the store. The submission is refused at once if no controller can reach the store.
func TestRelayedSubmission(t *testing.T) {
	rateLimited := fmt.Errorf("%w: %w", kvstore.ErrNotExecuted, kvstore.ErrRateLimited)
	for _, test := range []struct {
		name         string
		directErr    error
		relayErrs    []error
		status       int
		directWrites int // of two submissions
		relayWrites  []int
	}{
		{"direct path works", nil, []error{nil}, 201, 2, []int{0}},
		{"direct path refused", kvstore.ErrNotExecuted, []error{nil, nil}, 201, 1, []int{2, 0}},
		{"direct path unanswered", kvstore.ErrOutcomeUnknown, []error{nil}, 201, 1, []int{2}},
		{"first relay unreachable too", kvstore.ErrNotExecuted, []error{kvstore.ErrOutcomeUnknown, nil}, 201, 1, []int{2, 2}},
		{"no path works", kvstore.ErrNotExecuted, []error{kvstore.ErrNotExecuted, kvstore.ErrNotExecuted}, 503, 1, []int{2, 2}},
		{"no relay known", kvstore.ErrNotExecuted, nil, 503, 1, nil}, // the second is refused without a write
		{"rate limited only", rateLimited, []error{nil}, 503, 2, []int{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				set := &settings.Settings{}
				set.Deployment.Teams = []settings.Team{{Name: "team"}}
				set.Deployment.Zones = []string{"a"}
				direct := &pathStub{err: test.directErr}
				self := actor.NewRef()
				server := New(set, direct, self, actor.NewRef())
				server.sizeLimits = records.SizeLimits{Current: 8192, Next: 8192}
				var relays []*pathStub
				var relayList []Relay
				for _, err := range test.relayErrs {
					w := &pathStub{err: err}
					relays = append(relays, w)
					relayList = append(relayList, w)
				}
				self.Tell(MachineTypes{{Name: "box", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}})
				self.Tell(SetRelays{Relays: relayList})
				go self.Run(ctx, server)
				for i := range 2 {
					answers := make(chan *httpwire.Response, 1)
					start := time.Now()
					self.Tell(Submit{Request: responder{func(r *httpwire.Response) { answers <- r }}, Body: submission(fmt.Sprintf("run-00000%d", i))})
					got := <-answers // without a response the test ends in a deadlock and fails
					if got.Status != test.status {
						t.Fatalf("submission %d: got response %+v, wanted %d", i, got, test.status)
					}
					synctest.Wait()
					if test.status != 201 && got.RetryAfterS == 0 {
						t.Error("refused without Retry-After")
					}
					if elapsed := time.Since(start); elapsed > constants.RateLimitWait+constants.UserRequestTimeout/2 {
						t.Errorf("got a response after %s", elapsed)
					}
				}
				if test.directErr == rateLimited {
					test.directWrites = direct.writes // retried for a short while, on the direct path only
				}
				if direct.writes != test.directWrites {
					t.Errorf("%d direct writes, wanted %d", direct.writes, test.directWrites)
				}
				for i, w := range relays {
					if w.writes != test.relayWrites[i] {
						t.Errorf("relay %d got %d writes, wanted %d", i, w.writes, test.relayWrites[i])
					}
				}
			})
		})
	}
}

// The direct path is used again after an update from the watch feed. Relays are not used
// once StoreContactTimeout has passed since the last SetRelays.
func TestDirectPathIsTakenAgain(t *testing.T) {
	r := storePath{relays: []Relay{&pathStub{}}, relaysUpdatedAt: time.Unix(100, 0), directBlocked: true}
	if got := r.currentRelays(time.Unix(100, 0).Add(constants.StoreContactTimeout)); len(got) != 1 {
		t.Error("a relay is not used although it was set within StoreContactTimeout")
	}
	if got := r.currentRelays(time.Unix(101, 0).Add(constants.StoreContactTimeout)); len(got) != 0 {
		t.Error("a relay is still used after StoreContactTimeout")
	}
	server := New(&settings.Settings{}, slowStore{}, actor.NewRef(), actor.NewRef())
	server.path = r
	server.applyUpdate(records.Update{Revision: 1})
	if server.path.directBlocked {
		t.Error("after an update from the watch feed the direct path still counts as blocked")
	}
}
