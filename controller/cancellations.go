package controller

import (
	"cmp"
	"slices"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/peer"
)

// recentCancellations holds the latest cancellations, by revision, that this process
// knows of: from its feed, from what its API server confirmed or read, and from other
// controllers. They are listed for a controller whose feed is behind.
type recentCancellations struct {
	revisions   map[string]uint64 // by job
	latest      uint64
	droppedUpTo uint64 // those up to this revision may be missing
}

// add keeps a cancellation and returns whether it is new.
func (c *recentCancellations) add(job string, revision uint64) bool {
	if known, ok := c.revisions[job]; ok && known <= revision {
		return false
	}
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	c.revisions[job] = revision
	c.latest = max(c.latest, revision)
	if len(c.revisions) >= 2*constants.MinCancellationsKept {
		c.dropOlderHalf()
	}
	return true
}

// dropOlderHalf drops the half with the lower revisions.
func (c *recentCancellations) dropOlderHalf() {
	all := c.since(0)
	for _, cancellation := range all[:len(all)/2] {
		delete(c.revisions, cancellation.JobID)
		c.droppedUpTo = max(c.droppedUpTo, cancellation.Revision)
	}
}

// since lists those after a revision, the oldest first.
func (c *recentCancellations) since(revision uint64) []peer.Cancellation {
	if c.latest <= revision {
		return nil
	}
	var later []peer.Cancellation
	for job, at := range c.revisions {
		if at > revision {
			later = append(later, peer.Cancellation{JobID: job, Revision: at})
		}
	}
	slices.SortFunc(later, func(a, b peer.Cancellation) int { return cmp.Compare(a.Revision, b.Revision) })
	return later
}

// isCompleteSince says whether since lists all that were ever added after a revision.
func (c *recentCancellations) isCompleteSince(revision uint64) bool {
	return revision >= c.droppedUpTo
}

// applyCancellation applies that a job is stored as cancelled, which the feed may not have
// shown yet: the owners here stop its tasks at once.
func (c *controlActor) applyCancellation(cancellation peer.Cancellation) {
	isNew := c.cancellations.add(cancellation.JobID, cancellation.Revision)
	if !isNew || cancellation.Revision <= c.feed.revision {
		return
	}
	c.tellOwners(apiserver.JobCancelled{JobID: cancellation.JobID, Revision: cancellation.Revision})
}
