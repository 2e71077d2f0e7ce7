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
	me          string
	controllers []Controller
	shards      []string
	started     time.Time
	nodes       map[string]node
	terms       map[string]term // by key
	vacantSince map[string]time.Time
	packs       map[string]bool // controllers seen to read packed records

	secondShardWait time.Duration // how long another shard is left vacant by an owner

	detection   bool // controllers whose lease lives may be revoked
	revocations map[string]revocation
	pace        failover.Pace
}

type node struct {
	incarnation, version uint64
	life                 time.Duration // of its lease, if it heeds revocations
	since                time.Time
}

type term struct {
	records.Term
	version uint64
	since   time.Time
}

// New makes the core of the controller named me.
func New(me string, controllers []Controller, shards []string, now time.Time) *Core {
	c := &Core{me: me, controllers: slices.Clone(controllers), shards: shards, started: now,
		nodes: map[string]node{}, terms: map[string]term{}, vacantSince: map[string]time.Time{}, packs: map[string]bool{}, revocations: map[string]revocation{}}
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
func (c *Core) SetSecondShardDelay(d time.Duration) { c.secondShardWait = d }

// Apply takes in a change from the feed.
func (c *Core) Apply(now time.Time, ch records.Change) {
	switch r := ch.Record.(type) {
	case *records.Controller:
		old, ok := c.nodes[r.Name]
		n := node{incarnation: r.Incarnation, version: ch.Version, life: time.Duration(r.LeaseTTLMS) * time.Millisecond, since: now}
		if ok && old.incarnation == r.Incarnation {
			n.since = old.since
		}
		c.nodes[r.Name] = n
		c.packs[r.Name] = c.packs[r.Name] || r.ReadsPacked
	case *records.Revocation:
		c.revocations[r.Controller] = revocation{*r, ch.Version, now}
	case *records.Term:
		c.terms[ch.Key] = term{*r, ch.Version, now}
	case nil:
		if kind, name := records.KeyKind(ch.Key); kind == "node" {
			delete(c.nodes, name)
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
		if !c.packs[k.Name] {
			return false
		}
	}
	return true
}

// Alive says whether a controller's lease is known to live.
func (c *Core) Alive(name string) bool { _, ok := c.nodes[name]; return ok }

// ControllerKey returns the incarnation and version under a controller's key.
func (c *Core) ControllerKey(name string) (incarnation, version uint64) {
	n := c.nodes[name]
	return n.incarnation, n.version
}

// Holder returns the live controller that holds the term under key.
func (c *Core) Holder(key string) (string, bool) {
	t, ok := c.terms[key]
	if !ok {
		return "", false
	}
	n, ok := c.nodes[t.Controller]
	return t.Controller, ok && n.incarnation == t.Incarnation
}

// TermAcquisition is a transaction that takes or hands on a term.
type TermAcquisition struct {
	Key string
	To  string // the new holder
	Txn wire.Txn
}

// keys lists everything that wants a holder.
func (c *Core) keys() []string {
	out := []string{records.KeyLeader}
	for _, p := range c.shards {
		out = append(out, records.KeyShard(p))
	}
	return out
}

// order lists the controllers by their fitness to hold key.
func (c *Core) order(now time.Time, key string) []Controller {
	fleet := failover.Fleet{Controllers: c.controllers, Zones: c.shards}
	if c.detection {
		fleet.Shards = c.ownedBy
		fleet.LastChoice = func(name string) bool { return c.recentlyRevoked(now, name) }
	}
	if key == records.KeyLeader {
		return fleet.Order(failover.Term{Leader: true})
	}
	for _, zone := range c.shards {
		if records.KeyShard(zone) == key {
			return fleet.Order(failover.Term{Zone: zone})
		}
	}
	return nil
}

// ownedBy counts the shards that a controller owns.
func (c *Core) ownedBy(name string) int {
	owned := 0
	for _, zone := range c.shards {
		if holder, held := c.Holder(records.KeyShard(zone)); held && holder == name {
			owned++
		}
	}
	return owned
}

// Step returns the claims to make now. mine is this process's incarnation;
// settled says whether its own key is known to stand and it holds authority.
func (c *Core) Step(now time.Time, mine uint64, settled bool) []TermAcquisition {
	me, ok := c.nodes[c.me]
	if !ok || me.incarnation != mine || !settled {
		return nil
	}
	var out []TermAcquisition
	owner := c.ownsShard()
	for _, key := range c.keys() {
		if holder, held := c.Holder(key); held && !c.outlived(now, key) {
			delete(c.vacantSince, key)
			if holder == c.me {
				if cl, ok := c.handBack(now, key); ok {
					out = append(out, cl)
				}
			}
			continue
		}
		if _, seen := c.vacantSince[key]; !seen {
			c.vacantSince[key] = now
		}
		shard := key != records.KeyLeader
		if shard && owner && now.Sub(c.vacantSince[key]) < c.secondShardWait {
			continue
		}
		if c.detection && c.recentlyRevoked(now, c.me) && now.Sub(c.vacantSince[key]) < constants.RevokedWait {
			continue
		}
		if shard && !c.pace.Ready(now) {
			continue
		}
		if cl, ok := c.claim(now, key, me); ok {
			out = append(out, cl)
			owner = owner || shard
			if shard {
				c.pace.Record(now)
			}
		}
	}
	return out
}

// ownsShard says whether this controller holds a shard's term.
func (c *Core) ownsShard() bool {
	for _, p := range c.shards {
		if holder, held := c.Holder(records.KeyShard(p)); held && holder == c.me {
			return true
		}
	}
	return false
}

func (c *Core) claim(now time.Time, key string, me node) (TermAcquisition, bool) {
	position, missing := failover.Position(c.order(now, key), c.me, c.candidate)
	if now.Sub(c.vacantSince[key]) < time.Duration(position)*constants.ClaimStep {
		return TermAcquisition{}, false
	}
	if missing && now.Sub(c.started) < constants.FirstClaimWait {
		return TermAcquisition{}, false
	}
	// A shard stays away from a revoked owner for a while. A leadership is not handed
	// back at all, and must not be kept by the next leader should that be cut off, too.
	cut := key != records.KeyLeader && c.outlived(now, key)
	return c.claimOf(key, c.me, me.incarnation, me.version, cut), true
}

// candidate says whether a controller may claim terms.
func (c *Core) candidate(name string) bool { return c.Alive(name) && !c.Revoked(name) }

// AcquisitionOf makes the transaction that gives key to a controller. It holds only
// while the new holder's key stands and the old one's is as known.
func (c *Core) AcquisitionOf(key, to string, incarnation, version uint64) TermAcquisition {
	return c.claimOf(key, to, incarnation, version, false)
}

func (c *Core) claimOf(key, to string, incarnation, version uint64, cut bool) TermAcquisition {
	t := c.terms[key]
	next := records.Term{Controller: to, Incarnation: incarnation, Number: t.Number + 1, HolderUnreachable: cut}
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: t.version}, {Key: records.KeyController(to), Version: version}},
		Changes:    []wire.Change{{Put: key, Value: records.Encode(next)}},
	}
	if t.version != 0 && t.Controller != to {
		if _, alive := c.nodes[t.Controller]; !alive {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.KeyController(t.Controller), Version: 0})
		} else if r, ok := c.revocationOf(t.Term); ok {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.KeyRevoked(t.Controller), Version: r.version})
		}
	}
	return TermAcquisition{Key: key, To: to, Txn: txn}
}

// HandOver gives a held term to the best placed other live controller, because
// this one is cut off from what it takes to make use of it. A leadership that was
// handed on for that a moment ago stays: where no controller reaches another, it
// would go round for ever.
func (c *Core) HandOver(now time.Time, key string) (TermAcquisition, bool) {
	if t := c.terms[key]; key == records.KeyLeader && t.HolderUnreachable && now.Sub(t.since) < constants.CutPause {
		return TermAcquisition{}, false
	}
	for _, k := range c.order(now, key) {
		if n, ok := c.nodes[k.Name]; ok && k.Name != c.me && !c.Revoked(k.Name) {
			cl := c.claimOf(key, k.Name, n.incarnation, n.version, true)
			return cl, true
		}
	}
	return TermAcquisition{}, false
}

// handBack gives a held term to a controller that is better placed, once that
// one has been up for a while.
func (c *Core) handBack(now time.Time, key string) (TermAcquisition, bool) {
	if key == records.KeyLeader {
		return TermAcquisition{}, false // the leader's place matters little; moving it costs
	}
	if t := c.terms[key]; t.HolderUnreachable && now.Sub(t.since) < constants.CutPause {
		return TermAcquisition{}, false
	}
	for _, k := range c.order(now, key) {
		if k.Name == c.me {
			return TermAcquisition{}, false
		}
		n, ok := c.nodes[k.Name]
		if !ok || c.Revoked(k.Name) || now.Sub(n.since) < constants.HandBackAfter {
			continue
		}
		// Only its own zone is worth a second disturbance.
		if records.KeyShard(k.Zone) != key {
			return TermAcquisition{}, false
		}
		mine := slices.IndexFunc(c.controllers, func(x Controller) bool { return x.Name == c.me })
		if records.KeyShard(c.controllers[mine].Zone) == key {
			return TermAcquisition{}, false
		}
		return c.AcquisitionOf(key, k.Name, n.incarnation, n.version), true
	}
	return TermAcquisition{}, false
}
