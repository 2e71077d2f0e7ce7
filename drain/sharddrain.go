package drain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ravenport/records"
	"ravenport/window"
)

// Candidate is a selected machine that has not been drained yet.
type Candidate struct {
	Name       string
	IsCordoned bool
	Services   int     // tasks of services on it
	UsedCPUs   float64 // by tasks
}

// ShardDrain is a drain's progress in one shard, in one term of the shard's owner. The
// first machine of all is a canary: until it has been replaced, and the moved tasks are
// available, no other machine of any shard is cordoned. It is not safe for concurrent use.
type ShardDrain struct {
	policy  Policy
	shard   string
	zones   []string // selected ones, in the deployment's order
	record  *records.Drain
	version uint64 // of the record

	consecutiveFailures int
	lastFailure         string
	replacedMachines    int // in this term
	remainingMachines   int
	isWriteInFlight     bool
	window              window.Window // open now or the next to open; zero: not computed yet
}

// NewShardDrain returns the progress of a drain in a shard whose owner has just read its
// record. zones are all of the deployment, in order.
func NewShardDrain(policy Policy, shard string, zones []string, record *records.Drain, version uint64) *ShardDrain {
	return &ShardDrain{
		policy:  policy,
		shard:   shard,
		zones:   SelectedZones(&record.Selection, zones),
		record:  record,
		version: version,
	}
}

// ApplyRecord applies the drain's record from the feed. Resuming a stopped drain resets the
// count of failures.
func (s *ShardDrain) ApplyRecord(record *records.Drain, version uint64) {
	if version <= s.version {
		return
	}
	if record.ResumeCount > s.record.ResumeCount {
		s.consecutiveFailures = 0
	}
	s.record = record
	s.version = version
	s.isWriteInFlight = false
}

// Record is the drain's record as last read.
func (s *ShardDrain) Record() *records.Drain { return s.record }

// ConsecutiveFailures is the number of failures since the last machine was replaced.
func (s *ShardDrain) ConsecutiveFailures() int { return s.consecutiveFailures }

// MayCordon reports whether machines of this shard may be cordoned: the drain is running
// and the shard is not drained, and either the canary has passed or this is the canary's
// shard.
func (s *ShardDrain) MayCordon() bool {
	if s.record.State != records.DrainRunning || s.isDrained(s.shard) {
		return false
	}
	return s.record.CanaryPassed || s.firstUndrainedShard() == s.shard
}

// CanaryShard is the shard of the canary, or "" if the canary has passed.
func (s *ShardDrain) CanaryShard() string {
	if s.record.CanaryPassed {
		return ""
	}
	return s.firstUndrainedShard()
}

func (s *ShardDrain) firstUndrainedShard() string {
	for _, zone := range s.zones {
		if !s.isDrained(zone) {
			return zone
		}
	}
	return ""
}

// isDrained reports whether a shard has no selected machines left, or never had any.
func (s *ShardDrain) isDrained(shard string) bool {
	return slices.Contains(s.record.DrainedShards, shard) || !slices.Contains(s.zones, shard)
}

// WindowState reports whether a maintenance window is open, and if not when the next one
// opens.
func (s *ShardDrain) WindowState(now time.Time) (open bool, next time.Time) {
	if s.policy.Windows == nil {
		return true, now
	}
	if !now.Before(s.window.Closes) {
		s.window, _ = s.policy.Windows.Next(now)
	}
	return s.window.IsOpen(now), s.window.Opens
}

// ChooseMachines returns the names of the machines to cordon now. candidates are all
// selected machines that are left in the shard, and machineCount is the number of all its
// machines, which bounds how many are cordoned at once. The emptiest come first: they free
// capacity for the tasks of the others.
func (s *ShardDrain) ChooseMachines(now time.Time, candidates []Candidate, machineCount int) []string {
	s.remainingMachines = len(candidates)
	if open, _ := s.WindowState(now); !open || !s.MayCordon() {
		return nil
	}
	allowed := 1
	if s.record.CanaryPassed {
		allowed = s.policy.MaxCordoned(machineCount)
	}
	var uncordoned []Candidate
	for _, c := range candidates {
		if c.IsCordoned {
			allowed--
		} else {
			uncordoned = append(uncordoned, c)
		}
	}
	if allowed <= 0 {
		return nil
	}
	slices.SortFunc(uncordoned, compareByLoad)
	var names []string
	for _, c := range uncordoned[:min(allowed, len(uncordoned))] {
		names = append(names, c.Name)
	}
	return names
}

// compareByLoad orders machines with fewer tasks of services and fewer used CPUs first.
func compareByLoad(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Services, b.Services), cmp.Compare(a.UsedCPUs, b.UsedCPUs), strings.Compare(a.Name, b.Name))
}

// RecordReplacement records that a machine was drained and has left the shard.
func (s *ShardDrain) RecordReplacement() {
	s.replacedMachines++
	s.consecutiveFailures = 0
}

// RecordFailure records that the replacement of a machine failed.
func (s *ShardDrain) RecordFailure(cause string) {
	s.consecutiveFailures++
	s.lastFailure = cause
}

// NextRecord returns the record as it should be stored now, or nil if nothing changes.
// settled says that every task which was moved is available again or was given up. The
// caller writes the record on the condition of the returned version and passes the result
// to ApplyWriteResult.
func (s *ShardDrain) NextRecord(movesCompleted bool) (record *records.Drain, version uint64) {
	if s.isWriteInFlight || s.record.State != records.DrainRunning {
		return nil, 0
	}
	next := s.record.Clone()
	switch {
	case s.consecutiveFailures >= s.policy.MaxConsecutiveFailures:
		next.State = records.DrainStopped
		next.StopReason = fmt.Sprintf("%d replacements in a row failed in %s, the last: %s", s.consecutiveFailures, s.shard, s.lastFailure)
	case s.remainingMachines == 0 && !s.isDrained(s.shard) && movesCompleted:
		next.DrainedShards = append(next.DrainedShards, s.shard)
		next.CanaryPassed = next.CanaryPassed || s.replacedMachines > 0
		if s.areAllDrained(next.DrainedShards) {
			next.State = records.DrainFinished
		}
	case !s.record.CanaryPassed && s.replacedMachines > 0 && movesCompleted:
		next.CanaryPassed = true
	default:
		return nil, 0
	}
	s.isWriteInFlight = true
	return next, s.version
}

// areAllDrained reports whether the drained shards are all that the drain selects.
func (s *ShardDrain) areAllDrained(drained []string) bool {
	for _, zone := range s.zones {
		if !slices.Contains(drained, zone) {
			return false
		}
	}
	return true
}

// ApplyWriteResult applies the result of writing the record that NextRecord returned. If it
// was written, the feed brings the record.
func (s *ShardDrain) ApplyWriteResult(written bool) {
	if !written {
		s.isWriteInFlight = false
	}
}
