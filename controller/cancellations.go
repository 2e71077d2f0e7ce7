package controller

import (
	"cmp"
	"slices"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/peer"
)

// recentCancellations holds the cancellations with the highest store revisions that this
// process has learned of: from its watch feed, from its API server, which confirmed or
// read them, and from other controllers. The reply to a request for a lease extension
// lists those that the requesting controller's feed has not delivered yet.
type recentCancellations struct {
	revisions   map[string]uint64 // store revision of the cancellation, by job
	latest      uint64
	droppedUpTo uint64 // cancellations up to this revision may have been dropped
}

// add stores a cancellation. It returns false if the job's cancellation is already known
// with the same or a lower revision.
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

// dropOlderHalf drops the half of the cancellations that has the lower revisions.
func (c *recentCancellations) dropOlderHalf() {
	all := c.since(0)
	for _, cancellation := range all[:len(all)/2] {
		delete(c.revisions, cancellation.JobID)
		c.droppedUpTo = max(c.droppedUpTo, cancellation.Revision)
	}
}

// since lists the cancellations after a revision, in ascending order of revision.
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

// isCompleteSince reports whether since returns every cancellation after a revision that
// was ever added, that is, none of them has been dropped.
func (c *recentCancellations) isCompleteSince(revision uint64) bool {
	return revision >= c.droppedUpTo
}

// applyCancellation applies a cancellation that is stored but that the feed may not have
// delivered yet: the shard owners in this process stop the job's tasks at once.
func (c *controlActor) applyCancellation(cancellation peer.Cancellation) {
	isNew := c.cancellations.add(cancellation.JobID, cancellation.Revision)
	if !isNew || cancellation.Revision <= c.feed.revision {
		return
	}
	c.tellOwners(apiserver.JobCancelled{JobID: cancellation.JobID, Revision: cancellation.Revision})
}
