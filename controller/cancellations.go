package controller

import (
	"cmp"
	"slices"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/peer"
)

// cancellations are those that this process knows of, from its feed, from what its
// API server confirmed or read, and from other controllers: the latest by
// revision, so that a controller whose feed is behind can be told of them.
type cancellations struct {
	recent  map[string]uint64 // revision by job
	latest  uint64
	dropped uint64 // those up to here may be missing
}

// note takes a cancellation in and says whether it is news.
func (c *cancellations) note(job string, revision uint64) bool {
	if was, known := c.recent[job]; known && was <= revision {
		return false
	}
	if c.recent == nil {
		c.recent = map[string]uint64{}
	}
	c.recent[job] = revision
	c.latest = max(c.latest, revision)
	if len(c.recent) >= 2*constants.CancellationsKept {
		c.prune()
	}
	return true
}

// prune drops the older half.
func (c *cancellations) prune() {
	all := c.since(0)
	for _, x := range all[:len(all)/2] {
		delete(c.recent, x.Job)
		c.dropped = max(c.dropped, x.Revision)
	}
}

// since lists those beyond a revision, the oldest first.
func (c *cancellations) since(revision uint64) []peer.Cancellation {
	if c.latest <= revision {
		return nil
	}
	var out []peer.Cancellation
	for job, at := range c.recent {
		if at > revision {
			out = append(out, peer.Cancellation{Job: job, Revision: at})
		}
	}
	slices.SortFunc(out, func(a, b peer.Cancellation) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// all says whether since lists all that were ever noted beyond a revision.
func (c *cancellations) all(revision uint64) bool { return revision >= c.dropped }

// cancelled takes in that a job is stored as cancelled, which the feed may not have
// brought yet: the owners here stop its tasks at once.
func (c *control) cancelled(x peer.Cancellation) {
	if !c.cancels.note(x.Job, x.Revision) || x.Revision <= c.revision {
		return
	}
	for _, o := range c.owners {
		o.ref.Tell(apiserver.JobCancelled{JobID: x.Job, Revision: x.Revision})
	}
}
