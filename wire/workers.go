package wire

import (
	"math"
	"strconv"
	"strings"
)

// Paths of the interface between workers and controllers.
const (
	PathHeartbeat = "/agent/beat"
	PathCommands  = "/commands"
	PathShow      = "/show"
)

// States of a task in a worker's report.
const (
	TaskFetching       = "pulling"
	TaskWaitingForGang = "waiting" // a gang's, for the other tasks of its attempt
	TaskRunning        = "running"
	TaskSaving         = "saving"
	TaskExited         = "exited"
)

// Causes of a task's exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"
	CauseError          = "error"
	CauseNoCapacity     = "full"
	CauseOtherAttempt   = "busy"
	CauseUnknownTask    = "unknown"
	CauseGangPeerLost   = "peers" // a gang's: another task of it is gone
	CauseGangIncomplete = "alone" // a gang's: it was not complete in time
)

// Operations of a command.
const (
	OpStart  = "run"
	OpStop   = "stop"
	OpForget = "clear"
)

// Heartbeat is what a worker says of itself and of all its tasks.
type Heartbeat struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	Type         string       `json:"build"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Epoch        uint64       `json:"shift"`
	Seq          uint64       `json:"tally"`
	FencingToken uint64       `json:"baton"`
	NoticeS      *float64     `json:"warning_s"`
	Tasks        []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task         string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"kept,omitempty"`
}

// ParseHeartbeat reads and checks a report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if !isObject(body) {
		return nil, &FieldError{"body", "is not a JSON object"}
	}
	if err := Decode(body, &r); err != nil {
		return nil, &FieldError{"body", "is no report: " + err.Error()}
	}
	switch {
	case r.Machine == "" || len(r.Machine) > maxNameBytes:
		return nil, &FieldError{"host", "is missing or too long"}
	case r.Epoch == 0:
		return nil, &FieldError{"shift", "is missing"}
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || *r.NoticeS < 0):
		return nil, &FieldError{"warning_s", "is out of range"}
	}
	return &r, nil
}

// Command is one order to a worker.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect answers a report at a node that does not own the machine.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandRequest is the body of a direct command.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// TaskName writes the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName reads the name of a task.
func ParseTaskName(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 0 || n >= MaxTasks || TaskName(name[:i], n) != name {
		return "", 0, false
	}
	return name[:i], n, ValidJobID(name[:i])
}
