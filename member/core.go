// Package member decides which controller leads and which controller owns each shard. It
// does no I/O: its inputs are records of the key-value store and monotonic time, and its
// outputs are compare-and-swap transactions that acquire or transfer a term. The caller
// commits the transactions. A transaction whose conditions are no longer met changes
// nothing.
package member

import (
	"slices"
	"strings"
	"time"

	"ravenport/failover"
	"ravenport/records"
)

// Controller is one of the deployment's controllers.
type Controller = failover.Controller

// Core holds the records of controllers, terms and revocations that the store's feed
// delivers. It must be used by a single goroutine.
type Core struct {
	self          string
	controllers   []Controller // by name
	shards        []string
	startedAt     time.Time
	registrations map[string]registration // by controller; a controller without a lease has none
	terms         map[string]termState    // by key
	vacantSince   map[string]time.Time    // by key of a term without a live holder
	readsPacked   map[string]bool         // controllers seen to read packed records

	secondShardDelay time.Duration // how long an owner waits before it acquires another shard

	detectionEnabled bool // controllers may be revoked although their lease is valid
	revocations      map[string]revocationState
	takeoverPacer    failover.Pacer
}

// registration is the record under a controller's key, which exists as long as the
// controller's lease.
type registration struct {
	incarnation uint64
	version     uint64        // of the key
	leaseTTL    time.Duration // 0: the process does not support revocation
	firstSeen   time.Time     // of this incarnation
}

// termState is a term's record as last delivered by the feed.
type termState struct {
	records.Term
	version   uint64 // of the key; 0: there is no record
	firstSeen time.Time
}

// New returns the core of the controller named self.
func New(self string, controllers []Controller, shards []string, now time.Time) *Core {
	c := &Core{
		self:          self,
		controllers:   slices.Clone(controllers),
		shards:        shards,
		startedAt:     now,
		registrations: map[string]registration{},
		terms:         map[string]termState{},
		vacantSince:   map[string]time.Time{},
		readsPacked:   map[string]bool{},
		revocations:   map[string]revocationState{},
	}
	slices.SortFunc(c.controllers, func(a, b Controller) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// SetSecondShardDelay sets how long a controller that owns a shard waits before it
// acquires another vacant shard. The other shard's own controller may have restarted by
// then. Without the delay, a controller on a small computer that takes over all shards at
// once would delay all its work, including submissions, for as long as that restart
// takes.
func (c *Core) SetSecondShardDelay(d time.Duration) { c.secondShardDelay = d }

// Apply applies a change from the feed.
func (c *Core) Apply(now time.Time, change records.Change) {
	switch record := change.Record.(type) {
	case *records.Controller:
		c.applyRegistration(now, record, change.Version)
	case *records.Revocation:
		c.revocations[record.Controller] = revocationState{Revocation: *record, version: change.Version, firstSeen: now}
	case *records.Term:
		c.terms[change.Key] = termState{Term: *record, version: change.Version, firstSeen: now}
	case nil:
		if name, ok := strings.CutPrefix(change.Key, records.KeyController("")); ok {
			delete(c.registrations, name)
		}
	}
}

func (c *Core) applyRegistration(now time.Time, record *records.Controller, version uint64) {
	updated := registration{
		incarnation: record.Incarnation,
		version:     version,
		leaseTTL:    time.Duration(record.LeaseTTLMS) * time.Millisecond,
		firstSeen:   now,
	}
	if known, ok := c.registrations[record.Name]; ok && known.incarnation == record.Incarnation {
		updated.firstSeen = known.firstSeen
	}
	c.registrations[record.Name] = updated
	c.readsPacked[record.Name] = c.readsPacked[record.Name] || record.ReadsPacked
}

// Term returns the term under key and the key's version, which is 0 if there is no
// record.
func (c *Core) Term(key string) (records.Term, uint64) {
	t := c.terms[key]
	return t.Term, t.version
}

// AllReadPacked reports whether every controller has been seen to read packed records.
// Each controller has then been started with this version of the program, and none
// returns with the previous version.
func (c *Core) AllReadPacked() bool {
	for _, controller := range c.controllers {
		if !c.readsPacked[controller.Name] {
			return false
		}
	}
	return true
}

// IsAlive reports whether a controller is registered, that is, whether its lease is
// valid.
func (c *Core) IsAlive(name string) bool {
	_, ok := c.registrations[name]
	return ok
}

// Incarnation returns the incarnation of a controller's registered process, or 0 if no
// process is registered.
func (c *Core) Incarnation(name string) uint64 { return c.registrations[name].incarnation }

// RegistrationVersion returns the version of a controller's key, or 0 if the controller
// is not registered.
func (c *Core) RegistrationVersion(name string) uint64 { return c.registrations[name].version }

// Holder returns the controller that holds the term under key, and whether the process
// that acquired it is still registered.
func (c *Core) Holder(key string) (name string, alive bool) {
	term, ok := c.terms[key]
	if !ok {
		return "", false
	}
	holder, ok := c.registrations[term.Controller]
	return term.Controller, ok && holder.incarnation == term.Incarnation
}
