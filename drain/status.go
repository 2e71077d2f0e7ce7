package drain

import "ravenport/disruption"

// ShardStatus is the status of a shard's drains and budgets, as its owner pushes it.
type ShardStatus struct {
	Shard       string             `json:"shard"`
	Drains      []ShardProgress    `json:"drains,omitempty"`
	BudgetUsage []disruption.Usage `json:"usage,omitempty"`
}

// ShardProgress is the progress of a drain in a shard, for operators.
type ShardProgress struct {
	Drain               int      `json:"drain"` // number
	Shard               string   `json:"shard"`
	Remaining           int      `json:"left"`               // machines
	Cordoned            []string `json:"cordoned,omitempty"` // machines; not all are named
	MovingTasks         int      `json:"moving"`             // that were stopped and are not available again
	WaitingFor          string   `json:"waits,omitempty"`    // why the drain does not proceed
	ConsecutiveFailures int      `json:"failures,omitempty"`
}
