package controller

import (
	"cmp"
	"slices"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/peer"
)

// recentCancellations are those that this process knows of, from its feed, from what its
// API server confirmed or read, and from other controllers: the latest by
// revision, so that a controller whose feed is behind can be told of them.
type recentCancellations struct {
	revisions   map[string]uint64 // revision by job
	latest      uint64
	droppedUpTo uint64 // those up to here may be missing
}

// add takes a cancellation in and says whether it is news.
func (c *recentCancellations) add(job string, revision uint64) bool {
	if was, known := c.revisions[job]; known && was <= revision {
		return false
	}
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	c.revisions[job] = revision
	c.latest = max(c.latest, revision)
	if len(c.revisions) >= 2*constants.CancellationsKept {
		c.dropOlderHalf()
	}
	return true
}

// dropOlderHalf drops the older half.
func (c *recentCancellations) dropOlderHalf() {
	all := c.since(0)
	for _, x := range all[:len(all)/2] {
		delete(c.revisions, x.JobID)
		c.droppedUpTo = max(c.droppedUpTo, x.Revision)
	}
}

// since lists those beyond a revision, the oldest first.
func (c *recentCancellations) since(revision uint64) []peer.Cancellation {
	if c.latest <= revision {
		return nil
	}
	var out []peer.Cancellation
	for job, at := range c.revisions {
		if at > revision {
			out = append(out, peer.Cancellation{JobID: job, Revision: at})
		}
	}
	slices.SortFunc(out, func(a, b peer.Cancellation) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// isCompleteSince says whether since lists all that were ever noted beyond a revision.
func (c *recentCancellations) isCompleteSince(revision uint64) bool { return revision >= c.droppedUpTo }

// applyCancellation takes in that a job is stored as cancelled, which the feed may not have
// brought yet: the owners here stop its tasks at once.
func (c *controlActor) applyCancellation(x peer.Cancellation) {
	if !c.cancellations.add(x.JobID, x.Revision) || x.Revision <= c.revision {
		return
	}
	for _, o := range c.owners {
		o.ref.Tell(apiserver.JobCancelled{JobID: x.JobID, Revision: x.Revision})
	}
}
