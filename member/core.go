// Package member decides which controller leads and which owns which shard.
// It is pure: state and time in, claims out.
package member

import (
	"slices"
	"time"

	"ravenport/constants"
	"ravenport/failover"
	"ravenport/records"
	"ravenport/wire"
)

// Controller is one of the deployment's controllers.
type Controller = failover.Controller

// Core mirrors the terms and the live controllers.
type Core struct {
	self          string
	controllers   []Controller
	shards        []string
	startedAt     time.Time
	registrations map[string]registration
	terms         map[string]termState // by key
	vacantSince   map[string]time.Time
	readsPacked   map[string]bool // controllers seen to read packed records

	secondShardDelay time.Duration // how long another shard is left vacant by an owner

	detectionEnabled bool // controllers whose lease lives may be revoked
	revocations      map[string]revocationState
	takeoverPacer    failover.Pacer
}

type registration struct {
	incarnation, version uint64
	leaseTTL             time.Duration // of its lease, if it heeds revocations
	firstSeen            time.Time
}

type termState struct {
	records.Term
	version   uint64
	firstSeen time.Time
}

// New makes the core of the controller named me.
func New(self string, controllers []Controller, shards []string, now time.Time) *Core {
	c := &Core{self: self, controllers: slices.Clone(controllers), shards: shards, startedAt: now,
		registrations: map[string]registration{}, terms: map[string]termState{}, vacantSince: map[string]time.Time{}, readsPacked: map[string]bool{}, revocations: map[string]revocationState{}}
	slices.SortFunc(c.controllers, func(a, b Controller) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return c
}

// SetSecondShardDelay says how long a controller that owns a shard leaves another one
// vacant before it claims that, too. Its own controller may be back by then. Guards
// against a small machine that takes over all shards at once and is behind with
// everything, submissions included, for as long as that.
func (c *Core) SetSecondShardDelay(d time.Duration) { c.secondShardDelay = d }

// Apply takes in a change from the feed.
func (c *Core) Apply(now time.Time, ch records.Change) {
	switch r := ch.Record.(type) {
	case *records.Controller:
		old, ok := c.registrations[r.Name]
		n := registration{incarnation: r.Incarnation, version: ch.Version, leaseTTL: time.Duration(r.LeaseTTLMS) * time.Millisecond, firstSeen: now}
		if ok && old.incarnation == r.Incarnation {
			n.firstSeen = old.firstSeen
		}
		c.registrations[r.Name] = n
		c.readsPacked[r.Name] = c.readsPacked[r.Name] || r.ReadsPacked
	case *records.Revocation:
		c.revocations[r.Controller] = revocationState{*r, ch.Version, now}
	case *records.Term:
		c.terms[ch.Key] = termState{*r, ch.Version, now}
	case nil:
		if kind, name := records.KeyKind(ch.Key); kind == "node" {
			delete(c.registrations, name)
		}
	}
}

// Term returns the term under key and the key's version.
func (c *Core) Term(key string) (records.Term, uint64) {
	t := c.terms[key]
	return t.Term, t.version
}

// AllReadPacked says whether every controller has been seen to read packed records: then
// each has come back with this version, and none returns with the one before.
func (c *Core) AllReadPacked() bool {
	for _, k := range c.controllers {
		if !c.readsPacked[k.Name] {
			return false
		}
	}
	return true
}

// IsAlive says whether a controller's lease is known to live.
func (c *Core) IsAlive(name string) bool { _, ok := c.registrations[name]; return ok }

// ControllerKey returns the incarnation and version under a controller's key.
func (c *Core) ControllerKey(name string) (incarnation, version uint64) {
	n := c.registrations[name]
	return n.incarnation, n.version
}

// Holder returns the live controller that holds the term under key.
func (c *Core) Holder(key string) (string, bool) {
	t, ok := c.terms[key]
	if !ok {
		return "", false
	}
	n, ok := c.registrations[t.Controller]
	return t.Controller, ok && n.incarnation == t.Incarnation
}

// TermAcquisition is a transaction that takes or hands on a term.
type TermAcquisition struct {
	Key       string
	NewHolder string // the new holder
	Txn       wire.Txn
}

// termKeys lists everything that wants a holder.
func (c *Core) termKeys() []string {
	out := []string{records.KeyLeader}
	for _, p := range c.shards {
		out = append(out, records.KeyShard(p))
	}
	return out
}

// rankedControllers lists the controllers by their fitness to hold key.
func (c *Core) rankedControllers(now time.Time, key string) []Controller {
	fleet := failover.Candidates{Controllers: c.controllers, Zones: c.shards}
	if c.detectionEnabled {
		fleet.OwnedShards = c.ownedShardCount
		fleet.Deprioritized = func(name string) bool { return c.recentlyRevoked(now, name) }
	}
	if key == records.KeyLeader {
		return fleet.Ranked(failover.Role{Leader: true})
	}
	for _, zone := range c.shards {
		if records.KeyShard(zone) == key {
			return fleet.Ranked(failover.Role{Zone: zone})
		}
	}
	return nil
}

// ownedShardCount counts the shards that a controller owns.
func (c *Core) ownedShardCount(name string) int {
	owned := 0
	for _, zone := range c.shards {
		if holder, held := c.Holder(records.KeyShard(zone)); held && holder == name {
			owned++
		}
	}
	return owned
}

// DueAcquisitions returns the claims to make now. mine is this process's incarnation;
// settled says whether its own key is known to stand and it holds authority.
func (c *Core) DueAcquisitions(now time.Time, mine uint64, settled bool) []TermAcquisition {
	me, ok := c.registrations[c.self]
	if !ok || me.incarnation != mine || !settled {
		return nil
	}
	var out []TermAcquisition
	owner := c.ownsShard()
	for _, key := range c.termKeys() {
		if holder, held := c.Holder(key); held && !c.revokedAuthorityEnded(now, key) {
			delete(c.vacantSince, key)
			if holder == c.self {
				if cl, ok := c.failback(now, key); ok {
					out = append(out, cl)
				}
			}
			continue
		}
		if _, seen := c.vacantSince[key]; !seen {
			c.vacantSince[key] = now
		}
		shard := key != records.KeyLeader
		if shard && owner && now.Sub(c.vacantSince[key]) < c.secondShardDelay {
			continue
		}
		if c.detectionEnabled && c.recentlyRevoked(now, c.self) && now.Sub(c.vacantSince[key]) < constants.RevokedAcquisitionDelay {
			continue
		}
		if shard && !c.takeoverPacer.IsReady(now) {
			continue
		}
		if cl, ok := c.acquireIfDue(now, key, me); ok {
			out = append(out, cl)
			owner = owner || shard
			if shard {
				c.takeoverPacer.Record(now)
			}
		}
	}
	return out
}

// ownsShard says whether this controller holds a shard's term.
func (c *Core) ownsShard() bool {
	for _, p := range c.shards {
		if holder, held := c.Holder(records.KeyShard(p)); held && holder == c.self {
			return true
		}
	}
	return false
}

func (c *Core) acquireIfDue(now time.Time, key string, me registration) (TermAcquisition, bool) {
	position, missing := failover.Position(c.rankedControllers(now, key), c.self, c.isCandidate)
	if now.Sub(c.vacantSince[key]) < time.Duration(position)*constants.AcquisitionRankDelay {
		return TermAcquisition{}, false
	}
	if missing && now.Sub(c.startedAt) < constants.StartupAcquisitionDelay {
		return TermAcquisition{}, false
	}
	// A shard stays away from a revoked owner for a while. A leadership is not handed
	// back at all, and must not be kept by the next leader should that be cut off, too.
	cut := key != records.KeyLeader && c.revokedAuthorityEnded(now, key)
	return c.acquisition(key, c.self, me.incarnation, me.version, cut), true
}

// isCandidate says whether a controller may claim terms.
func (c *Core) isCandidate(name string) bool { return c.IsAlive(name) && !c.IsRevoked(name) }

// AcquisitionOf makes the transaction that gives key to a controller. It holds only
// while the new holder's key stands and the old one's is as known.
func (c *Core) AcquisitionOf(key, to string, incarnation, version uint64) TermAcquisition {
	return c.acquisition(key, to, incarnation, version, false)
}

func (c *Core) acquisition(key, to string, incarnation, version uint64, cut bool) TermAcquisition {
	t := c.terms[key]
	next := records.Term{Controller: to, Incarnation: incarnation, Number: t.Number + 1, HolderUnreachable: cut}
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: t.version}, {Key: records.KeyController(to), Version: version}},
		Changes:    []wire.Change{{Put: key, Value: records.Encode(next)}},
	}
	if t.version != 0 && t.Controller != to {
		if _, alive := c.registrations[t.Controller]; !alive {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.KeyController(t.Controller), Version: 0})
		} else if r, ok := c.revocationOfHolder(t.Term); ok {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.KeyRevoked(t.Controller), Version: r.version})
		}
	}
	return TermAcquisition{Key: key, NewHolder: to, Txn: txn}
}

// TransferAway gives a held term to the best placed other live controller, because
// this one is cut off from what it takes to make use of it. A leadership that was
// handed on for that a moment ago stays: where no controller reaches another, it
// would go round for ever.
func (c *Core) TransferAway(now time.Time, key string) (TermAcquisition, bool) {
	if t := c.terms[key]; key == records.KeyLeader && t.HolderUnreachable && now.Sub(t.firstSeen) < constants.FailbackCooldown {
		return TermAcquisition{}, false
	}
	for _, k := range c.rankedControllers(now, key) {
		if n, ok := c.registrations[k.Name]; ok && k.Name != c.self && !c.IsRevoked(k.Name) {
			cl := c.acquisition(key, k.Name, n.incarnation, n.version, true)
			return cl, true
		}
	}
	return TermAcquisition{}, false
}

// failback gives a held term to a controller that is better placed, once that
// one has been up for a while.
func (c *Core) failback(now time.Time, key string) (TermAcquisition, bool) {
	if key == records.KeyLeader {
		return TermAcquisition{}, false // the leader's place matters little; moving it costs
	}
	if t := c.terms[key]; t.HolderUnreachable && now.Sub(t.firstSeen) < constants.FailbackCooldown {
		return TermAcquisition{}, false
	}
	for _, k := range c.rankedControllers(now, key) {
		if k.Name == c.self {
			return TermAcquisition{}, false
		}
		n, ok := c.registrations[k.Name]
		if !ok || c.IsRevoked(k.Name) || now.Sub(n.firstSeen) < constants.FailbackMinUptime {
			continue
		}
		// Only its own zone is worth a second disturbance.
		if records.KeyShard(k.Zone) != key {
			return TermAcquisition{}, false
		}
		mine := slices.IndexFunc(c.controllers, func(x Controller) bool { return x.Name == c.self })
		if records.KeyShard(c.controllers[mine].Zone) == key {
			return TermAcquisition{}, false
		}
		return c.AcquisitionOf(key, k.Name, n.incarnation, n.version), true
	}
	return TermAcquisition{}, false
}
