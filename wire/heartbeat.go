package wire

import "math"

// Paths of the interface between workers and controllers.
const (
	PathHeartbeat = "/agent/beat" // served by controllers
	PathCommands  = "/commands"   // served by workers
)

// TaskState is the state of a task in a heartbeat.
type TaskState string

// States of a task.
const (
	TaskFetching       TaskState = "pulling" // the task waits for its image
	TaskWaitingForGang TaskState = "waiting" // the task of a gang waits for the other tasks of its attempt
	TaskRunning        TaskState = "running"
	TaskSaving         TaskState = "saving" // the task was stopped and saves a checkpoint
	TaskExited         TaskState = "exited" // the task exited for one of the causes below
)

// ExitCause is the cause of a task's exit in a heartbeat.
type ExitCause string

// Causes of a task's exit.
const (
	CauseDone           ExitCause = "done"
	CauseStopped        ExitCause = "halted" // stopped by a command
	CauseError          ExitCause = "error"
	CauseNoCapacity     ExitCause = "full"    // start refused: not enough free resources
	CauseOtherAttempt   ExitCause = "busy"    // start refused: the machine has another attempt of the task
	CauseUnknownTask    ExitCause = "unknown" // start refused: no such job or task
	CauseGangPeerLost   ExitCause = "peers"   // another task of the gang's attempt is no longer running
	CauseGangIncomplete ExitCause = "alone"   // the gang was not complete in time
)

// Heartbeat is the state of a worker and of all its tasks. Heartbeats of one machine
// are ordered by Epoch, then by Seq: the heartbeat with the larger value is newer.
type Heartbeat struct {
	Machine string `json:"host"`
	Addr    string `json:"addr"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	// Epoch starts at 1 and increases each time the worker's lease expires.
	Epoch uint64 `json:"shift"`
	// Seq increases with every heartbeat and every response to direct commands.
	Seq uint64 `json:"tally"`
	// FencingToken is the highest fencing token that the worker has seen.
	FencingToken uint64 `json:"baton"`
	// NoticeS is the time until the cloud reclaims the machine (s); nil if the cloud
	// gave no notice.
	NoticeS *float64 `json:"warning_s"`
	// Tasks are all tasks on the machine. An exited task is included until OpForget.
	Tasks []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"` // the task's name; see ParseTaskName
	Attempt uint64    `json:"try"`
	State   TaskState `json:"status"`
	Cause   ExitCause `json:"cause,omitempty"` // only with TaskExited
	// Checkpointed says that the progress of a stopped task was saved.
	Checkpointed bool `json:"kept,omitempty"`
}

// ParseHeartbeat decodes and validates a heartbeat. Its error is a *FieldError.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if !isObject(body) {
		return nil, &FieldError{"body", "is not a JSON object"}
	}
	if err := Decode(body, &heartbeat); err != nil {
		return nil, &FieldError{"body", "is no report: " + err.Error()}
	}
	switch {
	case heartbeat.Machine == "" || len(heartbeat.Machine) > maxNameBytes:
		return nil, &FieldError{"host", "is missing or too long"}
	case heartbeat.Epoch == 0:
		return nil, &FieldError{"shift", "is missing"}
	case heartbeat.NoticeS != nil && (math.IsNaN(*heartbeat.NoticeS) || *heartbeat.NoticeS < 0):
		return nil, &FieldError{"warning_s", "is out of range"}
	}
	return &heartbeat, nil
}

// HeartbeatReply is the response to a heartbeat. The reply renews the worker's lease
// unless the reply's fencing token is lower than one that the worker has seen.
type HeartbeatReply struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the response (status 421) to a heartbeat if the controller does not own
// the machine's shard.
type Redirect struct {
	// Controller is the controller to send heartbeats to. If it is empty, the worker
	// sends them to the next controller.
	Controller string `json:"foreman,omitempty"`
}
