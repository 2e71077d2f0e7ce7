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

// slowStore is a store whose reads of the revision take readTime. It refuses all other
// calls.
type slowStore struct{ readTime time.Duration }

func (s slowStore) Commit(context.Context, wire.Txn) (uint64, error) {
	return 0, kvstore.ErrNotExecuted
}
func (s slowStore) Get(context.Context, string) (wire.KeyValue, bool, error) {
	return wire.KeyValue{}, false, kvstore.ErrNotExecuted
}
func (s slowStore) Revision(context.Context) (uint64, error) {
	time.Sleep(s.readTime)
	return 1, nil
}

// responder passes responses to a function.
type responder struct{ deliver func(*httpwire.Response) }

func (a responder) Respond(r *httpwire.Response) { a.deliver(r) }

// When more polls arrive than can wait, every job's user still gets a response within 75 s,
// although the users poll in the same order every time.
func TestNoPollIsStarvedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		self := actor.NewRef()
		server := New(&settings.Settings{}, slowStore{time.Second}, self, actor.NewRef())
		update := records.Update{Revision: 1}
		const jobs = 4 * constants.MaxPendingRequests
		for i := range jobs {
			update.Changes = append(update.Changes, records.Change{Version: 1, Record: &records.Job{ID: fmt.Sprintf("run-%d", i)}})
		}
		self.Tell(update)
		go self.Run(ctx, server)
		answeredAt := make([]time.Time, jobs)
		start := time.Now()
		for i := range answeredAt {
			answeredAt[i] = start
		}
		refused := 0
		for time.Since(start) < 4*time.Minute {
			for i := range jobs {
				self.Tell(Poll{Request: responder{func(r *httpwire.Response) {
					if r.Status == 200 {
						answeredAt[i] = time.Now()
					} else {
						refused++
						if r.RetryAfterS == 0 {
							t.Error("refused without Retry-After")
						}
					}
				}}, JobID: fmt.Sprintf("run-%d", i)})
			}
			time.Sleep(5 * time.Second)
			synctest.Wait() // the actor is idle, so its writes can be read without a race
			for i := range answeredAt {
				if since := time.Since(answeredAt[i]); since > 75*time.Second {
					t.Fatalf("job %d of %d was not answered for %s", i, jobs, since)
				}
			}
		}
		synctest.Wait()
		if refused == 0 {
			t.Fatal("nothing was refused: the test does not reach the limit")
		}
	})
}
