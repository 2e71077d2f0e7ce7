// Package kvstore is the client of the consensus-backed key-value store that holds all
// of ravenport's durable state. [Client] provides compare-and-swap transactions, reads,
// leases and watches within a controller's share of the store's rate limits. [Feed]
// follows the changes of all keys.
//
// The error of a failed call says what is known of the call's outcome, so that the caller
// can decide whether a retry is safe. [ErrNotExecuted] means that the store did not execute
// the request. [ErrOutcomeUnknown] means that the store may have executed it.
package kvstore
