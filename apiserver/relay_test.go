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

// pathStub is a way to the state service that gives one answer and counts what it is asked.
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

// A submission is written through another controller where only this one is kept
// from the state service, and refused at once where nobody reaches it.
func TestRelayedSubmission(t *testing.T) {
	limited := fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrRateLimited)
	for _, c := range []struct {
		name       string
		own        error
		relays     []error
		status     int
		ownWrites  int // of two submissions
		relayAsked []int
	}{
		{"own way open", nil, []error{nil}, 201, 2, []int{0}},
		{"own way shut", kvstore.ErrRefused, []error{nil, nil}, 201, 1, []int{2, 0}},
		{"no answer to this one", kvstore.ErrOutcomeUnknown, []error{nil}, 201, 1, []int{2}},
		{"the first relay is away, too", kvstore.ErrRefused, []error{kvstore.ErrOutcomeUnknown, nil}, 201, 1, []int{2, 2}},
		{"nobody reaches it", kvstore.ErrRefused, []error{kvstore.ErrRefused, kvstore.ErrRefused}, 503, 1, []int{2, 2}},
		{"no relay is known", kvstore.ErrRefused, nil, 503, 1, nil}, // the second is refused unasked
		{"only too many", limited, []error{nil}, 503, 2, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				set := &settings.Settings{}
				set.Deployment.Teams = []settings.Team{{Name: "team"}}
				set.Deployment.Zones = []string{"a"}
				own := &pathStub{err: c.own}
				self := actor.NewRef()
				d := New(set, own, self, actor.NewRef())
				d.sizeLimits = records.SizeLimits{Now: 8192, Next: 8192}
				var relays []*pathStub
				var to []Relay
				for _, err := range c.relays {
					w := &pathStub{err: err}
					relays, to = append(relays, w), append(to, w)
				}
				self.Tell(MachineTypes{{Name: "box", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}})
				self.Tell(SetRelays{Relays: to})
				go self.Run(ctx, d)
				for i := range 2 {
					answers := make(chan *httpwire.Response, 1)
					began := time.Now()
					self.Tell(Submit{Request: responder{func(r *httpwire.Response) { answers <- r }}, Body: submission(fmt.Sprintf("run-00000%d", i))})
					got := <-answers // nothing at all would be a deadlock, which fails the test
					if got.Status != c.status {
						t.Fatalf("submission %d: answered %+v, wanted %d", i, got, c.status)
					}
					synctest.Wait()
					if c.status != 201 && got.RetryAfterS == 0 {
						t.Error("refused without saying when to come back")
					}
					if took := time.Since(began); took > constants.RateLimitWait+constants.UserRequestTimeout/2 {
						t.Errorf("answered after %s", took)
					}
				}
				if c.own == limited {
					c.ownWrites = own.writes // it is tried again for a moment, by itself alone
				}
				if own.writes != c.ownWrites {
					t.Errorf("%d writes of its own, wanted %d", own.writes, c.ownWrites)
				}
				for i, w := range relays {
					if w.writes != c.relayAsked[i] {
						t.Errorf("relay %d was asked %d times, wanted %d", i, w.writes, c.relayAsked[i])
					}
				}
			})
		})
	}
}

// The own way is taken again once the feed has brought something, and relays that
// nobody has named for a while are not asked.
func TestDirectPathIsTakenAgain(t *testing.T) {
	r := storePath{relays: []Relay{&pathStub{}}, relaysNamedAt: time.Unix(100, 0), directBlocked: true}
	if got := r.currentRelays(time.Unix(100, 0).Add(constants.StateSilence)); len(got) != 1 {
		t.Error("a relay that was just named is not known")
	}
	if got := r.currentRelays(time.Unix(101, 0).Add(constants.StateSilence)); len(got) != 0 {
		t.Error("a relay named long ago is known still")
	}
	d := New(&settings.Settings{}, slowStore{}, actor.NewRef(), actor.NewRef())
	d.path = r
	d.applyUpdate(records.Update{Revision: 1})
	if d.path.directBlocked {
		t.Error("after an update of the feed the own way counts as shut")
	}
}
