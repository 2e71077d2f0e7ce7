package wire

import "encoding/json"

// Paths of the state service.
const (
	PathKV     = "/kv"
	PathTxn    = "/multi"
	PathLeases = "/holds"
	PathWatch  = "/follow"
	// renewSuffix follows a lease's path in a renewal.
	renewSuffix = "renew"
)

// ProblemLeaseExpired is the error of the response (status 400) to a transaction that
// puts a key under an expired lease.
const ProblemLeaseExpired = "no such lease"

// KeyValue is one key of the state service.
type KeyValue struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"tenure,omitempty"`
}

// KeyList is one page of keys.
type KeyList struct {
	Items    []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger_count"`
}

// Condition demands a key's version; 0: the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change is one put or delete of a transaction.
type Change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"apply"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Revision uint64   `json:"ledger_count"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease uint64 `json:"tenure"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"ledger_count"`
	Events   []Event `json:"log"`
}
