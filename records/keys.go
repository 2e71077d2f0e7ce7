package records

import (
	"fmt"
	"strconv"
)

// KeyPrefix is the prefix of all keys, so that one watch covers them.
const KeyPrefix = "rv/"

// Keys of single records.
const (
	// KeyLeader is the key of the leader's term.
	KeyLeader = KeyPrefix + "leader"
	// KeyBarrier is never written; reading it returns the store's current revision.
	KeyBarrier = KeyPrefix + "barrier"
)

// Prefixes of the keys of each kind of record. Versions that do not know drains and
// disruption claims ignore them.
const (
	controllerPrefix = KeyPrefix + "node/"
	revocationPrefix = KeyPrefix + "revoked/"
	shardPrefix      = KeyPrefix + "part/"
	inventoryPrefix  = KeyPrefix + "roster/"
	jobPrefix        = KeyPrefix + "job/"
	drainPrefix      = KeyPrefix + "drain/"
	claimPrefix      = KeyPrefix + "claim/"
)

// KeyController is the key of a controller's registration, which is attached to the
// controller's lease.
func KeyController(name string) string { return controllerPrefix + name }

// KeyRevocation is the key of the latest revocation of a controller's process.
func KeyRevocation(controller string) string { return revocationPrefix + controller }

// KeyShard is the key of the term of a shard's owner.
func KeyShard(shard string) string { return shardPrefix + shard }

// KeyInventory is the key of a page of a shard's inventory.
func KeyInventory(shard string, page int) string {
	return inventoryPrefix + shard + "/" + strconv.Itoa(page)
}

// KeyJob is the key of a job.
func KeyJob(id string) string { return jobPrefix + id }

// KeyDrain is the key of a drain. The number is padded, so that the order of the keys is
// that of the numbers.
func KeyDrain(number int) string { return drainPrefix + fmt.Sprintf("%06d", number) }

// KeyDisruptionClaim is the key of a shard's disruption claim.
func KeyDisruptionClaim(shard string) string { return claimPrefix + shard }
