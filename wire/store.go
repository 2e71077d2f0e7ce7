package wire

import "encoding/json"

// Paths of the key-value store.
const (
	PathKV     = "/kv"
	PathTxn    = "/multi"
	PathLeases = "/holds"
	PathWatch  = "/follow"
	// renewSuffix is appended to a lease's path to renew the lease.
	renewSuffix = "renew"
)

// ProblemLeaseExpired is the error of the response (status 400) to a transaction that
// puts a key under an expired lease.
const ProblemLeaseExpired = "no such lease"

// KeyValue is one key of the store with its value.
type KeyValue struct {
	Key   string          `json:"path"`
	Value json.RawMessage `json:"data"`
	// Version is the revision of the key's latest change.
	Version uint64 `json:"stamp"`
	// Lease is the id of the lease to which the key is attached; 0 if there is none.
	Lease uint64 `json:"tenure,omitempty"`
}

// KeyList is one page of keys, sorted by key.
type KeyList struct {
	Items    []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger_count"`
}

// Condition requires that a key has a version. Version 0 requires that the key does not
// exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change is one put or delete of a transaction. One of Put and Delete is set, to the
// key.
type Change struct {
	Put   string          `json:"put,omitempty"`
	Value json.RawMessage `json:"data,omitempty"` // value of Put
	// Lease is the id of the lease to which Put is attached; 0 if there is none.
	Lease  uint64 `json:"tenure,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Txn is a compare-and-swap transaction: the store applies all changes atomically if
// all conditions hold. A transaction without changes only checks the conditions.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"apply"`
}

// TxnReply is the response to a transaction.
type TxnReply struct {
	Revision uint64   `json:"ledger_count"`
	Failed   []string `json:"failed"` // keys whose conditions did not hold
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"life_ms"` // time to live without a renewal (ms)
}

// LeaseReply is the response to a request for a lease.
type LeaseReply struct {
	Lease uint64 `json:"tenure"` // the lease's id
}

// Event is one change that a watch reports. One of Put and Delete is set, to the key.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"` // value of Put
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// Events is the response to a watch: all changes after the given revision.
type Events struct {
	Revision uint64  `json:"ledger_count"`
	Events   []Event `json:"log"`
}
