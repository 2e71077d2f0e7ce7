package apiserver

import (
	"context"
	"fmt"
	"log/slog"
	"os"
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

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// slowStore is a state service whose reads take their time.
type slowStore struct{ readTime time.Duration }

func (s slowStore) Commit(context.Context, wire.Txn) (uint64, error) { return 0, kvstore.ErrRefused }
func (s slowStore) Get(context.Context, string) (wire.KeyValue, bool, error) {
	return wire.KeyValue{}, false, kvstore.ErrRefused
}
func (s slowStore) Revision(context.Context) (uint64, error) { time.Sleep(s.readTime); return 1, nil }

type responder struct{ deliver func(*httpwire.Response) }

func (a responder) Respond(r *httpwire.Response) { a.deliver(r) }

// When more polls come than can wait, every job's user is answered within 75 s
// all the same, though they ask in the same order every time.
func TestNoPollIsStarvedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		self := actor.NewRef()
		d := New(&settings.Settings{}, slowStore{time.Second}, self, actor.NewRef())
		up := records.Update{Revision: 1}
		const jobs = 4 * constants.MaxPendingRequests
		for i := range jobs {
			up.Changes = append(up.Changes, records.Change{Version: 1, Record: &records.Job{ID: fmt.Sprintf("run-%d", i)}})
		}
		self.Tell(up)
		go self.Run(ctx, d)
		last := make([]time.Time, jobs)
		began := time.Now()
		for i := range last {
			last[i] = began
		}
		refused := 0
		for time.Since(began) < 4*time.Minute {
			for i := range jobs {
				self.Tell(Poll{Request: responder{func(r *httpwire.Response) {
					if r.Status == 200 {
						last[i] = time.Now()
					} else {
						refused++
						if r.RetryAfterS == 0 {
							t.Error("refused without saying when to come back")
						}
					}
				}}, JobID: fmt.Sprintf("run-%d", i)})
			}
			time.Sleep(5 * time.Second)
			synctest.Wait() // the actor is at rest: what it wrote may be read
			for i := range last {
				if since := time.Since(last[i]); since > 75*time.Second {
					t.Fatalf("job %d of %d had no answer for %s", i, jobs, since)
				}
			}
		}
		synctest.Wait()
		if refused == 0 {
			t.Fatal("nothing was refused: the test shows nothing")
		}
	})
}
