package wire

// CommandOp is the operation of a command. Each may be repeated, but for OpStart after
// OpForget, which starts the attempt once more.
type CommandOp string

// Operations of a command.
const (
	// OpStart starts an attempt of a task unless the worker has it already, in any state.
	OpStart CommandOp = "run"
	// OpStop stops a task, which saves a checkpoint first if it can within GraceS.
	OpStop CommandOp = "stop"
	// OpForget removes an exited task from the worker's heartbeats.
	OpForget CommandOp = "clear"
)

// Command is one command to a worker.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"piece"` // its name; see TaskName
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"wind_down_s,omitempty"` // of OpStop (s)
}

// CommandRequest is the body of direct commands to a worker. The worker executes none of
// them when the fencing token is lower than one that it has seen or the epoch is not its
// own. It responds with its heartbeat.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}
