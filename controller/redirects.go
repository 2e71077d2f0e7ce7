package controller

import "time"

// redirectedWorker is a worker that sent its heartbeat to this controller and was
// redirected to the owner of its shard.
type redirectedWorker struct {
	epoch, seq   uint64 // of the worker's latest heartbeat to this controller
	owner        string // the controller to which the worker was last redirected
	redirectedAt time.Time
	returned     bool // the worker sent this controller a newer heartbeat after the redirect to owner
}

// redirectTracker detects workers that return to this controller after they were
// redirected to their owner: the owner did not serve them. A late copy of a heartbeat is
// not newer than the latest heartbeat and does not count as a return.
type redirectTracker struct {
	window  time.Duration // how long a redirect is taken into account
	workers map[string]redirectedWorker
}

func newRedirectTracker(window time.Duration) *redirectTracker {
	return &redirectTracker{window: window, workers: map[string]redirectedWorker{}}
}

// record stores that a worker's heartbeat was redirected to its owner.
func (r *redirectTracker) record(now time.Time, worker string, epoch, seq uint64, owner string) {
	previous, known := r.workers[worker]
	isCopy := known && (epoch < previous.epoch || epoch == previous.epoch && seq <= previous.seq)
	if isCopy {
		return
	}
	returned := known && previous.owner == owner && now.Sub(previous.redirectedAt) <= r.window
	r.workers[worker] = redirectedWorker{epoch: epoch, seq: seq, owner: owner, redirectedAt: now, returned: returned}
}

// reset discards all redirects. It is called while this controller may not know the
// current owners, so that its redirects are no evidence against them.
func (r *redirectTracker) reset() { clear(r.workers) }

// countReturned returns the number of workers that returned to this controller within the
// window, by the controller to which they were redirected.
func (r *redirectTracker) countReturned(now time.Time) map[string]int {
	returned := map[string]int{}
	for worker, s := range r.workers {
		switch {
		case now.Sub(s.redirectedAt) > r.window:
			delete(r.workers, worker)
		case s.returned:
			returned[s.owner]++
		}
	}
	return returned
}
