// Package kvstore is the client of the consensus-backed key-value store that holds all
// of ravenport's durable state: compare-and-swap transactions, reads, leases and
// watches, within a controller's share of the store's rate limits, and a feed that
// mirrors every key.
//
// Every failed call says what is known of its outcome, so that callers can decide
// whether a retry is safe: an error that wraps [ErrRefused] means that the store surely
// did not execute the request, [ErrOutcomeUnknown] that it may have.
package kvstore
