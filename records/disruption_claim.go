package records

// DisruptionClaim is what a shard's owner counts against the disruption budgets: tasks
// that are unavailable, or that it may stop. See docs/draining.md.
type DisruptionClaim struct {
	Shard       string         `json:"-"`
	Term        uint64         `json:"term"`           // of the owner that wrote it
	Unavailable map[string]int `json:"down,omitempty"` // tasks, by budget
}
