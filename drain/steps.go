package drain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ravenport/disruption"
	"ravenport/records"
	"ravenport/window"
)

// Policy says how fast and how long a drain tries.
type Policy struct {
	ParallelPercent        float64       // share of a shard's machines that may be cordoned at once (percent)
	StableAfter            time.Duration // a task that has run for so long is up
	ArrayGracePeriod       time.Duration // how long tasks of arrays and gangs get to end by themselves
	ReplacementTimeout     time.Duration // within which a moved task must be up elsewhere
	MaxConsecutiveFailures int           // failures in a row that stop the drain
	// Window is when machines may be cordoned; nil: at any time. What was begun is
	// finished whenever it is.
	Window *window.Schedule
}

// MaxCordoned is how many of a shard's machines may be cordoned at once.
func (p *Policy) MaxCordoned(machines int) int {
	return max(1, int(p.ParallelPercent*float64(machines)/100))
}

// Candidate is a selected machine that is still there.
type Candidate struct {
	Name       string
	IsCordoned bool
	Services   int
	CPUs       float64 // held by tasks
}

// ShardDrain is a drain's progress in one shard, in one term of the shard's owner.
type ShardDrain struct {
	policy  Policy
	shard   string
	zones   []string // that the selection takes in, in the deployment's order
	record  *records.Drain
	version uint64

	failures        int    // in a row
	lastFailure     string // of the last one
	replaced        int    // machines, in this term
	remaining       int    // machines
	isWriteInFlight bool
	window          window.Window // the one that is open, or the next; zero: none was looked for yet
}

// NewShardDrain makes the progress of a drain that the owner has just heard of.
func NewShardDrain(p Policy, shard string, zones []string, record *records.Drain, version uint64) *ShardDrain {
	return &ShardDrain{policy: p, shard: shard, zones: SelectedZones(&record.Selection, zones), record: record, version: version}
}

// ApplyRecord takes in a newer record. Resuming forgets the failures.
func (s *ShardDrain) ApplyRecord(record *records.Drain, version uint64) {
	if version <= s.version {
		return
	}
	if record.ResumeCount > s.record.ResumeCount {
		s.failures = 0
	}
	s.record, s.version, s.isWriteInFlight = record, version, false
}

// Record is the drain's record as last read.
func (s *ShardDrain) Record() *records.Drain { return s.record }

// Failures is how many failures in a row there were.
func (s *ShardDrain) Failures() int { return s.failures }

// MayCordon says whether machines of this shard may be cordoned: the drain runs and is not
// done here, and it is proven or this is the first shard that is not done.
func (s *ShardDrain) MayCordon() bool {
	return s.record.State == records.DrainRunning && !s.isDrained(s.shard) && (s.record.CanaryPassed || s.firstUndrainedShard() == s.shard)
}

// ProvingShard is the shard whose first machine proves the drain; empty if it is proven.
func (s *ShardDrain) ProvingShard() string {
	if s.record.CanaryPassed {
		return ""
	}
	return s.firstUndrainedShard()
}

func (s *ShardDrain) firstUndrainedShard() string {
	for _, z := range s.zones {
		if !s.isDrained(z) {
			return z
		}
	}
	return ""
}

func (s *ShardDrain) isDrained(shard string) bool {
	return slices.Contains(s.record.DrainedShards, shard) || !slices.Contains(s.zones, shard)
}

// WindowState says whether a maintenance window is open, and if not when the next one opens.
func (s *ShardDrain) WindowState(now time.Time) (open bool, next time.Time) {
	if s.policy.Window == nil {
		return true, now
	}
	if !now.Before(s.window.Closes) {
		s.window, _ = s.policy.Window.Next(now)
	}
	return s.window.IsOpen(now), s.window.Opens
}

// ChooseMachines says which machines are to be cordoned now, of those that are still there; of
// the shard's machines in all only a share is cordoned at once. The emptiest come
// first: they free room for the others.
func (s *ShardDrain) ChooseMachines(now time.Time, candidates []Candidate, machines int) []string {
	s.remaining = len(candidates)
	if open, _ := s.WindowState(now); !open || !s.MayCordon() {
		return nil
	}
	most := 1
	if s.record.CanaryPassed {
		most = s.policy.MaxCordoned(machines)
	}
	var open []Candidate
	for _, c := range candidates {
		if c.IsCordoned {
			most--
		} else {
			open = append(open, c)
		}
	}
	if most <= 0 {
		return nil
	}
	slices.SortFunc(open, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Services, b.Services), cmp.Compare(a.CPUs, b.CPUs), strings.Compare(a.Name, b.Name))
	})
	var out []string
	for _, c := range open[:min(most, len(open))] {
		out = append(out, c.Name)
	}
	return out
}

// RecordReplacement notes that a machine was drained and is gone.
func (s *ShardDrain) RecordReplacement() {
	s.replaced++
	s.failures = 0
}

// RecordFailure notes a failed replacement.
func (s *ShardDrain) RecordFailure(cause string) {
	s.failures++
	s.lastFailure = cause
}

// NextRecord returns the record as it should be stored now, nil if nothing is to be changed.
// settled says that every task that was moved is up or was given up. The caller writes
// the record on the condition of the version that is returned, and tells what came of
// it with Written.
func (s *ShardDrain) NextRecord(settled bool) (record *records.Drain, version uint64) {
	if s.isWriteInFlight || s.record.State != records.DrainRunning {
		return nil, 0
	}
	next := s.record.Clone()
	switch {
	case s.failures >= s.policy.MaxConsecutiveFailures:
		next.State = records.DrainStopped
		next.StopReason = fmt.Sprintf("%d replacements in a row failed in %s, the last: %s", s.failures, s.shard, s.lastFailure)
	case s.remaining == 0 && !s.isDrained(s.shard) && settled:
		next.DrainedShards = append(next.DrainedShards, s.shard)
		next.CanaryPassed = next.CanaryPassed || s.replaced > 0
		if !slices.ContainsFunc(s.zones, func(z string) bool { return !slices.Contains(next.DrainedShards, z) }) {
			next.State = records.DrainFinished
		}
	case !s.record.CanaryPassed && s.replaced > 0 && settled:
		next.CanaryPassed = true
	default:
		return nil, 0
	}
	s.isWriteInFlight = true
	return next, s.version
}

// ApplyWriteResult takes in what came of a write: if it was carried out, the feed brings the
// record.
func (s *ShardDrain) ApplyWriteResult(ok bool) {
	if !ok {
		s.isWriteInFlight = false
	}
}

// ShardStatus is what the owner of a shard tells of its drains and budgets.
type ShardStatus struct {
	Shard  string             `json:"shard"`
	Drains []ShardProgress    `json:"drains,omitempty"`
	Usage  []disruption.Usage `json:"usage,omitempty"`
}

// ShardProgress is a drain's progress in a shard, for operators.
type ShardProgress struct {
	Drain       int      `json:"drain"`
	Shard       string   `json:"shard"`
	Remaining   int      `json:"left"` // machines
	Cordoned    []string `json:"cordoned,omitempty"`
	MovingTasks int      `json:"moving"` // tasks that were stopped and are not up again
	WaitingFor  string   `json:"waits,omitempty"`
	Failures    int      `json:"failures,omitempty"`
}
