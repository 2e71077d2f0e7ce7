package controller

import "time"

// sentWorker is a worker that reported here and was sent to the owner of its shard.
type sentWorker struct {
	session, sequence uint64 // of its latest report here
	to                string // the controller that it was last sent to
	at                time.Time
	returned          bool // it came back with a newer report after it was sent there
}

// returningWorkers notices workers that come back to this controller after they were
// sent to their owner: they were not served there. A late copy of a report is no
// newer than the last one, and does not count.
type returningWorkers struct {
	window time.Duration // how long a visit counts
	seen   map[string]sentWorker
}

func newReturningWorkers(window time.Duration) *returningWorkers {
	return &returningWorkers{window: window, seen: map[string]sentWorker{}}
}

// sent notes that a worker's report came here and was answered with its owner.
func (r *returningWorkers) sent(now time.Time, worker string, session, sequence uint64, to string) {
	before, known := r.seen[worker]
	if known && (session < before.session || session == before.session && sequence <= before.sequence) {
		return
	}
	again := known && before.to == to && now.Sub(before.at) <= r.window
	r.seen[worker] = sentWorker{session, sequence, to, now, again}
}

// forget drops everything: while this controller may not know who the owners are, it
// holds nothing against them.
func (r *returningWorkers) forget() { clear(r.seen) }

// count is how many workers came back lately, by the controller they were sent to.
func (r *returningWorkers) count(now time.Time) map[string]int {
	back := map[string]int{}
	for worker, s := range r.seen {
		switch {
		case now.Sub(s.at) > r.window:
			delete(r.seen, worker)
		case s.returned:
			back[s.to]++
		}
	}
	return back
}
