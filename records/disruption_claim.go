package records

// DisruptionClaim is the number of tasks that a shard's owner counts against the disruption
// budgets: tasks that are unavailable and tasks that the owner may stop. See
// docs/draining.md.
type DisruptionClaim struct {
	Shard       string         `json:"-"`
	Term        uint64         `json:"term"`           // term number of the owner that wrote the claim
	Unavailable map[string]int `json:"down,omitempty"` // number of tasks by budget
}
