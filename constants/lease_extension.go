package constants

import "time"

// Lease extensions that controllers grant each other while the key-value store is
// unreachable.
const (
	// ExtensionTTL is how long a controller that granted an extension acquires no term,
	// and how long a starting one waits, since the process before it may have granted one.
	// Long enough to be renewed three times within.
	ExtensionTTL = 1500 * time.Millisecond
	// ExtensionRequestInterval is how often lease extensions are requested.
	ExtensionRequestInterval = 400 * time.Millisecond
	// ExtensionStoreContactTimeout is how long nothing must have come from the key-value store
	// before lease extensions are requested or granted: the reply to a renewal comes
	// sooner.
	ExtensionStoreContactTimeout = time.Second
)
