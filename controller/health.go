package controller

import (
	"time"

	"ravenport/constants"
	"ravenport/httpwire"
)

// isStoreReachable says whether the key-value store answered a short while ago.
func (c *controlActor) isStoreReachable(now time.Time) bool {
	return now.Sub(c.lastStoreContact) < constants.StoreContactTimeout
}

// answerHealth answers whether this controller can serve users. While the key-value
// store is away for all controllers, this one can do as much as any other and stays
// healthy: it answers at once with a time to retry after, and serves as soon as the
// store returns.
func (c *controlActor) answerHealth(now time.Time, m healthRequest) {
	if !c.isReady() || c.isAloneWithoutStore(now) {
		m.req.Respond(&httpwire.Response{Status: 503, Body: []byte(`{"status":"unready"}`)})
		return
	}
	m.req.Respond(&httpwire.Response{Status: 200, Body: []byte(`{"status":"ok"}`)})
}

// isReady says whether this controller has read what it needs and is not ending.
func (c *controlActor) isReady() bool {
	return c.feed.synced && len(c.machineTypes.known) > 0 && !c.detection.resigned
}

// isAloneWithoutStore says whether the key-value store is silent here while another
// controller reaches it.
func (c *controlActor) isAloneWithoutStore(now time.Time) bool {
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
