package records

// DrainState is the state of a drain.
type DrainState string

// States of a drain. Only a running one has any effect; cancelled and finished ones are
// terminal.
const (
	DrainRunning   DrainState = "running"
	DrainPaused    DrainState = "paused"
	DrainStopped   DrainState = "stopped" // by itself, because replacements failed
	DrainCancelled DrainState = "cancelled"
	DrainFinished  DrainState = "finished"
)

// IsTerminal says whether a drain in this state never continues.
func (s DrainState) IsTerminal() bool { return s == DrainCancelled || s == DrainFinished }

// Selection selects the machines of a drain: all that match every field that is set.
type Selection struct {
	Machines []string `json:"machines,omitempty"` // names
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Spot     *bool    `json:"spot,omitempty"`
	// LastMachine selects the machines up to this name; the order of names is that of
	// the scale-out requests.
	LastMachine string `json:"last,omitempty"`
}

// Drain is the record of a drain.
type Drain struct {
	Number       int        `json:"-"`
	Selection    Selection  `json:"sel"`
	State        DrainState `json:"state"`
	StopReason   string     `json:"why,omitempty"` // of DrainStopped
	StartedS     int64      `json:"at"`            // time of day (s)
	MachineCount int        `json:"machines"`      // selected when the drain was started
	// CanaryPassed: the first machine was replaced, so that all shards may proceed.
	CanaryPassed bool `json:"proven,omitempty"`
	// DrainedShards have none of the selected machines any more.
	DrainedShards []string `json:"done,omitempty"`
	ResumeCount   int      `json:"attempts,omitempty"`
}

// Clone copies the record, so that the copy can be changed.
func (d *Drain) Clone() *Drain {
	clone := *d
	clone.DrainedShards = append([]string(nil), d.DrainedShards...)
	return &clone
}
