package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
)

// isStoreReachable reports whether the key-value store answered within
// StoreContactTimeout.
func (c *controlActor) isStoreReachable(now time.Time) bool {
	return now.Sub(c.lastStoreContact) < constants.StoreContactTimeout
}

// answerHealth answers whether this controller can serve users. While no controller
// reaches the key-value store, this controller can do as much as any other and stays
// healthy: it answers users at once with a time to retry after, and serves them as soon
// as the store is reachable again.
func (c *controlActor) answerHealth(now time.Time, m healthRequest) {
	if !c.isReady() || c.isStoreUnreachableLocally(now) {
		m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"status":"unready"}`)})
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: []byte(`{"status":"ok"}`)})
}

// isReady reports whether this controller has read the key-value store and the machine
// types, and is not about to end because an actor is stalled.
func (c *controlActor) isReady() bool {
	return c.feed.synced && len(c.machineTypes.known) > 0 && !c.detection.resigned
}

// isStoreUnreachableLocally reports whether the key-value store does not answer this
// controller while at least one other controller reaches the store.
func (c *controlActor) isStoreUnreachableLocally(now time.Time) bool {
	if now.Sub(c.lastStoreContact) <= constants.StoreContactTimeout+constants.WatchTimeout/2 {
		return false
	}
	for _, view := range c.peers {
		if view.reachesStore(now) {
			return true
		}
	}
	return false
}
