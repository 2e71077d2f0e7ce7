package constants

import "time"

// Lease extensions that controllers grant each other while the key-value store is
// unreachable.
const (
	// ExtensionTTL is how long a controller that granted an extension acquires no term. A
	// starting controller waits as long, since its previous process may have granted one. The
	// time is long enough for an extension to be renewed three times before it ends.
	ExtensionTTL = 1500 * time.Millisecond
	// ExtensionRequestInterval is how often lease extensions are requested.
	ExtensionRequestInterval = 400 * time.Millisecond
	// ExtensionStoreContactTimeout is the time without a response from the key-value store
	// after which lease extensions are requested or granted: the reply to a renewal arrives
	// sooner.
	ExtensionStoreContactTimeout = time.Second
)
