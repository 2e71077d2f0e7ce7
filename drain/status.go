package drain

import "ravenport/disruption"

// ShardStatus is the status of a shard's drains and budgets, which the shard's owner pushes
// to the other controllers.
type ShardStatus struct {
	Shard       string             `json:"shard"`
	Drains      []ShardProgress    `json:"drains,omitempty"`
	BudgetUsage []disruption.Usage `json:"usage,omitempty"`
}

// ShardProgress is the progress of a drain in a shard, as operators see it.
type ShardProgress struct {
	Drain               int      `json:"drain"` // number of the drain
	Shard               string   `json:"shard"`
	Remaining           int      `json:"left"`               // selected machines that remain
	Cordoned            []string `json:"cordoned,omitempty"` // names of cordoned machines; may be incomplete
	MovingTasks         int      `json:"moving"`             // tasks that were stopped and are not available again
	WaitingFor          string   `json:"waits,omitempty"`    // reason why the drain does not proceed
	ConsecutiveFailures int      `json:"failures,omitempty"`
}
