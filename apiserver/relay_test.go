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

// A submission is written through another controller when only this one cannot reach
// the store, and refused at once when none can.
func TestRelayedSubmission(t *testing.T) {
	limited := fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrRateLimited)
	for _, c := range []struct {
		name         string
		directErr    error
		relayErrs    []error
		status       int
		directWrites int // of two submissions
		relayWrites  []int
	}{
		{"direct path works", nil, []error{nil}, 201, 2, []int{0}},
		{"direct path refused", kvstore.ErrRefused, []error{nil, nil}, 201, 1, []int{2, 0}},
		{"direct path unanswered", kvstore.ErrOutcomeUnknown, []error{nil}, 201, 1, []int{2}},
		{"first relay unreachable too", kvstore.ErrRefused, []error{kvstore.ErrOutcomeUnknown, nil}, 201, 1, []int{2, 2}},
		{"no path works", kvstore.ErrRefused, []error{kvstore.ErrRefused, kvstore.ErrRefused}, 503, 1, []int{2, 2}},
		{"no relay known", kvstore.ErrRefused, nil, 503, 1, nil}, // the second is refused without a write
		{"rate limited only", limited, []error{nil}, 503, 2, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				set := &settings.Settings{}
				set.Deployment.Teams = []settings.Team{{Name: "team"}}
				set.Deployment.Zones = []string{"a"}
				direct := &pathStub{err: c.directErr}
				self := actor.NewRef()
				server := New(set, direct, self, actor.NewRef())
				server.sizeLimits = records.SizeLimits{Current: 8192, Next: 8192}
				var relays []*pathStub
				var to []Relay
				for _, err := range c.relayErrs {
					w := &pathStub{err: err}
					relays = append(relays, w)
					to = append(to, w)
				}
				self.Tell(MachineTypes{{Name: "box", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}})
				self.Tell(SetRelays{Relays: to})
				go self.Run(ctx, server)
				for i := range 2 {
					answers := make(chan *httpwire.Response, 1)
					began := time.Now()
					self.Tell(Submit{Request: responder{func(r *httpwire.Response) { answers <- r }}, Body: submission(fmt.Sprintf("run-00000%d", i))})
					got := <-answers // without an answer the test ends in a deadlock, which fails it
					if got.Status != c.status {
						t.Fatalf("submission %d: answered %+v, wanted %d", i, got, c.status)
					}
					synctest.Wait()
					if c.status != 201 && got.RetryAfterS == 0 {
						t.Error("refused without Retry-After")
					}
					if took := time.Since(began); took > constants.RateLimitWait+constants.UserRequestTimeout/2 {
						t.Errorf("answered after %s", took)
					}
				}
				if c.directErr == limited {
					c.directWrites = direct.writes // it is retried for a short while, directly alone
				}
				if direct.writes != c.directWrites {
					t.Errorf("%d direct writes, wanted %d", direct.writes, c.directWrites)
				}
				for i, w := range relays {
					if w.writes != c.relayWrites[i] {
						t.Errorf("relay %d got %d writes, wanted %d", i, w.writes, c.relayWrites[i])
					}
				}
			})
		})
	}
}

// The direct path is used again once the feed has brought something, and relays that
// have not been named for a while are not used.
func TestDirectPathIsTakenAgain(t *testing.T) {
	r := storePath{relays: []Relay{&pathStub{}}, relaysNamedAt: time.Unix(100, 0), directBlocked: true}
	if got := r.currentRelays(time.Unix(100, 0).Add(constants.StoreContactTimeout)); len(got) != 1 {
		t.Error("a relay that was just named is not used")
	}
	if got := r.currentRelays(time.Unix(101, 0).Add(constants.StoreContactTimeout)); len(got) != 0 {
		t.Error("a relay named long ago is still used")
	}
	server := New(&settings.Settings{}, slowStore{}, actor.NewRef(), actor.NewRef())
	server.path = r
	server.applyUpdate(records.Update{Revision: 1})
	if server.path.directBlocked {
		t.Error("after an update of the feed the direct path counts as blocked")
	}
}
