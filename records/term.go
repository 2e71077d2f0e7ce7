package records

// Term records which process of which controller is the leader or the owner of a shard,
// and its term number. Terms are never deleted, so that the term numbers only increase.
type Term struct {
	Shard       string `json:"-"` // empty for the leader's term
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"` // incarnation of the controller's process
	Number      uint64 `json:"term"`
	// PreviousUnreachable means that the previous holder resigned because its machines
	// could not reach it. The previous holder can get the term back only after
	// constants.FailbackCooldown.
	PreviousUnreachable bool `json:"cut,omitempty"`
}
