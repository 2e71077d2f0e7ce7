package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of drains and of claims on disruption budgets. A version that does not know them
// leaves them alone.
const (
	drainPrefix = KeyPrefix + "drain/"
	claimPrefix = KeyPrefix + "claim/"
)

// KeyDrain is the key of a drain. Numbers are padded so that keys are in their order.
func KeyDrain(number int) string { return drainPrefix + fmt.Sprintf("%06d", number) }

// KeyDisruptionClaim is the key of a shard's claim.
func KeyDisruptionClaim(shard string) string { return claimPrefix + shard }

// DisruptionClaim is what a shard's owner counts against the budgets of disruption: tasks that are
// unavailable, or that it may stop. See docs/draining.md.
type DisruptionClaim struct {
	Shard       string         `json:"-"`
	Term        uint64         `json:"term"` // of the owner that wrote it
	Unavailable map[string]int `json:"down,omitempty"`
}

// DrainState is how far a drain has come.
type DrainState string

// States of a drain. Only a running one does anything; cancelled and finished ones
// never do again.
const (
	DrainRunning   DrainState = "running"
	DrainPaused    DrainState = "paused"
	DrainStopped   DrainState = "stopped" // by itself, for failures
	DrainCancelled DrainState = "cancelled"
	DrainFinished  DrainState = "finished"
)

// IsTerminal says that a drain in this state never goes on.
func (s DrainState) IsTerminal() bool { return s == DrainCancelled || s == DrainFinished }

// Selection says which machines a drain takes in: all that fit every field that is set.
type Selection struct {
	Machines []string `json:"machines,omitempty"`
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Spot     *bool    `json:"spot,omitempty"`
	// LastMachine is the last machine that it takes in: names are in the order of rental.
	LastMachine string `json:"last,omitempty"`
}

// Drain is the record of a drain.
type Drain struct {
	Number        int        `json:"-"`
	Selection     Selection  `json:"sel"`
	State         DrainState `json:"state"`
	StopReason    string     `json:"why,omitempty"`      // it stopped
	StartedS      int64      `json:"at"`                 // time of day (s)
	MachineCount  int        `json:"machines"`           // that it took in when it was started
	CanaryPassed  bool       `json:"proven,omitempty"`   // the first machine was replaced
	DrainedShards []string   `json:"done,omitempty"`     // shards without machines of it
	ResumeCount   int        `json:"attempts,omitempty"` // how often it was resumed
}

// DamagedRecord stands for a record of a drain or a claim that cannot be read.
type DamagedRecord struct{ Key string }

// DrainNumber is the number of the damaged drain; ok is false if it is none.
func (d *DamagedRecord) DrainNumber() (number int, ok bool) {
	r, ok := newDrainingRecord(d.Key).(*Drain)
	if !ok {
		return 0, false
	}
	return r.Number, true
}

// ClaimedShard is the shard of the damaged claim; ok is false if it is none.
func (d *DamagedRecord) ClaimedShard() (shard string, ok bool) {
	return strings.CutPrefix(d.Key, claimPrefix)
}

// Clone copies the record, so that the copy can be changed.
func (d *Drain) Clone() *Drain {
	c := *d
	c.DrainedShards = append([]string(nil), d.DrainedShards...)
	return &c
}

// newDrainingRecord makes the empty record under a key of drains or claims; nil for a key
// of another kind.
func newDrainingRecord(key string) any {
	if shard, ok := strings.CutPrefix(key, claimPrefix); ok {
		return &DisruptionClaim{Shard: shard}
	}
	if text, ok := strings.CutPrefix(key, drainPrefix); ok {
		if number, err := strconv.Atoi(text); err == nil {
			return &Drain{Number: number}
		}
	}
	return nil
}
