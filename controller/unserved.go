package controller

import "time"

// redirectedWorker is a worker that reported here and was sent to the owner of its shard.
type redirectedWorker struct {
	epoch, seq   uint64 // of its latest report here
	owner        string // the controller that it was last sent to
	redirectedAt time.Time
	returned     bool // it came back with a newer report after it was sent there
}

// redirectTracker notices workers that come back to this controller after they were
// sent to their owner: they were not served there. A late copy of a report is no
// newer than the last one, and does not count.
type redirectTracker struct {
	window  time.Duration // how long a visit counts
	workers map[string]redirectedWorker
}

func newRedirectTracker(window time.Duration) *redirectTracker {
	return &redirectTracker{window: window, workers: map[string]redirectedWorker{}}
}

// record notes that a worker's report came here and was answered with its owner.
func (r *redirectTracker) record(now time.Time, worker string, session, sequence uint64, to string) {
	before, known := r.workers[worker]
	if known && (session < before.epoch || session == before.epoch && sequence <= before.seq) {
		return
	}
	again := known && before.owner == to && now.Sub(before.redirectedAt) <= r.window
	r.workers[worker] = redirectedWorker{session, sequence, to, now, again}
}

// reset drops everything: while this controller may not know who the owners are, it
// holds nothing against them.
func (r *redirectTracker) reset() { clear(r.workers) }

// countReturned is how many workers came back lately, by the controller they were sent to.
func (r *redirectTracker) countReturned(now time.Time) map[string]int {
	back := map[string]int{}
	for worker, s := range r.workers {
		switch {
		case now.Sub(s.redirectedAt) > r.window:
			delete(r.workers, worker)
		case s.returned:
			back[s.owner]++
		}
	}
	return back
}
