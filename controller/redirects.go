package controller

import "time"

// redirectedWorker is a worker whose heartbeat came here and was redirected to the owner
// of its shard.
type redirectedWorker struct {
	epoch, seq   uint64 // of its latest heartbeat here
	owner        string // the controller that it was last redirected to
	redirectedAt time.Time
	returned     bool // it came back with a newer heartbeat after it was redirected there
}

// redirectTracker notices workers that come back to this controller after they were
// redirected to their owner: they were not served there. A late copy of a heartbeat is no
// newer than the last one, and does not count.
type redirectTracker struct {
	window  time.Duration // how long a redirect counts
	workers map[string]redirectedWorker
}

func newRedirectTracker(window time.Duration) *redirectTracker {
	return &redirectTracker{window: window, workers: map[string]redirectedWorker{}}
}

// record notes that a worker's heartbeat was redirected to its owner.
func (r *redirectTracker) record(now time.Time, worker string, epoch, seq uint64, owner string) {
	previous, known := r.workers[worker]
	isCopy := known && (epoch < previous.epoch || epoch == previous.epoch && seq <= previous.seq)
	if isCopy {
		return
	}
	returned := known && previous.owner == owner && now.Sub(previous.redirectedAt) <= r.window
	r.workers[worker] = redirectedWorker{epoch: epoch, seq: seq, owner: owner, redirectedAt: now, returned: returned}
}

// reset drops everything: while this controller may not know who the owners are, it
// holds nothing against them.
func (r *redirectTracker) reset() { clear(r.workers) }

// countReturned counts the workers that came back lately, by the controller that they
// were redirected to.
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
