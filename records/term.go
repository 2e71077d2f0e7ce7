package records

// Term records which process of which controller is the leader or the owner of a shard,
// and its term number. Terms are never deleted, so that the term numbers only increase.
type Term struct {
	Shard       string `json:"-"` // empty for the leader's term
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"` // incarnation of the controller's process
	Number      uint64 `json:"term"`
	// PreviousUnreachable means that the previous holder transferred the term away because
	// it was partitioned from the machines or controllers that the term concerns. Until
	// constants.FailbackCooldown has passed, a shard is not failed back and leadership is
	// not transferred for this reason again.
	PreviousUnreachable bool `json:"cut,omitempty"`
}
