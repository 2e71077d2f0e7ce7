package records

// Term records which process of which controller leads or owns a shard, and with which
// term number. Terms are never deleted, so that their numbers only rise.
type Term struct {
	Shard       string `json:"-"` // empty for the leader's term
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"` // of the controller's process
	Number      uint64 `json:"term"`
	// PreviousUnreachable: the previous holder gave the term up because its machines
	// could not reach it. It gets the term back only after a while.
	PreviousUnreachable bool `json:"cut,omitempty"`
}
