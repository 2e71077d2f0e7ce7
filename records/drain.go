package records

// DrainState is the state of a drain.
type DrainState string

// States of a drain. Only a running drain has any effect. The states DrainCancelled and
// DrainFinished are terminal.
const (
	DrainRunning   DrainState = "running"
	DrainPaused    DrainState = "paused"
	DrainStopped   DrainState = "stopped" // stopped automatically because replacements failed
	DrainCancelled DrainState = "cancelled"
	DrainFinished  DrainState = "finished"
)

// IsTerminal reports whether a drain in this state can never continue.
func (s DrainState) IsTerminal() bool { return s == DrainCancelled || s == DrainFinished }

// Selection selects the machines of a drain. A machine is selected if it matches every
// field that is set.
type Selection struct {
	Machines []string `json:"machines,omitempty"` // names of machines
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Spot     *bool    `json:"spot,omitempty"`
	// LastMachine selects the machines up to and including this name. Machine names are
	// ordered by the time of their scale-out requests.
	LastMachine string `json:"last,omitempty"`
}

// Drain is the record of a drain.
type Drain struct {
	Number       int        `json:"-"`
	Selection    Selection  `json:"sel"`
	State        DrainState `json:"state"`
	StopReason   string     `json:"why,omitempty"` // set in state DrainStopped
	StartedS     int64      `json:"at"`            // time of day (s)
	MachineCount int        `json:"machines"`      // machines selected when the drain was started
	// CanaryPassed means that the first machine was replaced, so all shards may proceed.
	CanaryPassed bool `json:"proven,omitempty"`
	// DrainedShards are the shards in which no selected machine is left.
	DrainedShards []string `json:"done,omitempty"`
	ResumeCount   int      `json:"attempts,omitempty"`
}

// Clone returns a copy of the record that can be changed.
func (d *Drain) Clone() *Drain {
	clone := *d
	clone.DrainedShards = append([]string(nil), d.DrainedShards...)
	return &clone
}
