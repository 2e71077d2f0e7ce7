package records

import (
	"fmt"
	"strconv"
)

// KeyPrefix is the prefix of all keys, so that a single watch covers all of them.
const KeyPrefix = "rv/"

// Keys of single records.
const (
	// KeyLeader is the key of the leader's term.
	KeyLeader = KeyPrefix + "leader"
	// KeyBarrier is never written. The response to a read of this key contains the
	// store's current revision.
	KeyBarrier = KeyPrefix + "barrier"
)

// Prefixes of the keys of each kind of record. Controller versions that do not support
// drains ignore the keys of drains and disruption claims.
const (
	controllerPrefix = KeyPrefix + "node/"
	revocationPrefix = KeyPrefix + "revoked/"
	shardPrefix      = KeyPrefix + "part/"
	inventoryPrefix  = KeyPrefix + "roster/"
	jobPrefix        = KeyPrefix + "job/"
	drainPrefix      = KeyPrefix + "drain/"
	claimPrefix      = KeyPrefix + "claim/"
)

// KeyController returns the key of a controller's registration. The key is attached to
// the lease of the controller's process.
func KeyController(name string) string { return controllerPrefix + name }

// KeyRevocation returns the key of the latest revocation of a controller's process.
func KeyRevocation(controller string) string { return revocationPrefix + controller }

// KeyShard returns the key of the term of a shard's owner.
func KeyShard(shard string) string { return shardPrefix + shard }

// KeyInventory returns the key of a page of a shard's inventory.
func KeyInventory(shard string, page int) string {
	return inventoryPrefix + shard + "/" + strconv.Itoa(page)
}

// KeyJob returns the key of a job's record.
func KeyJob(id string) string { return jobPrefix + id }

// KeyDrain returns the key of a drain's record. The number is padded with zeros, so that
// the keys sort in the order of the numbers.
func KeyDrain(number int) string { return drainPrefix + fmt.Sprintf("%06d", number) }

// KeyDisruptionClaim returns the key of a shard's disruption claim.
func KeyDisruptionClaim(shard string) string { return claimPrefix + shard }
