package wire

// CommandOp is the operation of a command. Every operation is idempotent, with one
// exception: OpStart after OpForget starts the attempt again.
type CommandOp string

// Operations of a command.
const (
	// OpStart starts an attempt of a task unless the worker already has the attempt, in
	// any state.
	OpStart CommandOp = "run"
	// OpStop stops a task. The task first saves a checkpoint if it can do so within
	// GraceS.
	OpStop CommandOp = "stop"
	// OpForget removes an exited task from the worker's heartbeats.
	OpForget CommandOp = "clear"
)

// Command is one command to a worker.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"piece"` // the task's name; see TaskName
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"wind_down_s,omitempty"` // grace period of OpStop (s)
}

// CommandRequest is the body of a request that sends commands directly to a worker. The
// worker executes none of the commands if the fencing token is lower than one that the
// worker has seen, or if the epoch is not the worker's own. The worker responds with
// its heartbeat.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}
