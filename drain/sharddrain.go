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
	Services   int     // number of tasks of services on the machine
	UsedCPUs   float64 // CPUs used by tasks
}

// ShardDrain is a drain's progress in one shard, in one term of the shard's owner. The
// drain's first machine is a canary: no other machine of any shard is cordoned until the
// canary has been replaced and the moved tasks are available. ShardDrain is not safe for
// concurrent use.
type ShardDrain struct {
	policy  Policy
	shard   string
	zones   []string // selected zones, in the deployment's order
	record  *records.Drain
	version uint64 // version of the record

	consecutiveFailures int
	lastFailure         string
	replacedMachines    int // machines of this shard replaced in this term
	remainingMachines   int
	isWriteInFlight     bool
	window              window.Window // the open window, or the next to open; zero: not computed yet
}

// NewShardDrain returns the progress of a drain in a shard whose owner has just read the
// drain's record. zones are all zones of the deployment, in its order.
func NewShardDrain(policy Policy, shard string, zones []string, record *records.Drain, version uint64) *ShardDrain {
	return &ShardDrain{
		policy:  policy,
		shard:   shard,
		zones:   SelectedZones(&record.Selection, zones),
		record:  record,
		version: version,
	}
}

// ApplyRecord applies the drain's record from the feed. If the drain was resumed, ApplyRecord
// resets the count of consecutive failures.
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

// Record returns the drain's record as last read.
func (s *ShardDrain) Record() *records.Drain { return s.record }

// ConsecutiveFailures returns the number of failures since the last machine was replaced or
// the drain was resumed.
func (s *ShardDrain) ConsecutiveFailures() int { return s.consecutiveFailures }

// MayCordon reports whether machines of this shard may be cordoned. The drain must be
// running and the shard not drained. Also, the canary must have passed, or this must be the
// canary's shard.
func (s *ShardDrain) MayCordon() bool {
	if s.record.State != records.DrainRunning || s.isDrained(s.shard) {
		return false
	}
	return s.record.CanaryPassed || s.firstUndrainedShard() == s.shard
}

// CanaryShard returns the shard of the canary, or "" if the canary has passed.
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

// isDrained reports whether the drain's record lists a shard as drained, or the drain does
// not select the shard.
func (s *ShardDrain) isDrained(shard string) bool {
	return slices.Contains(s.record.DrainedShards, shard) || !slices.Contains(s.zones, shard)
}

// WindowState reports whether a maintenance window is open. If none is open, next is the
// time when the next window opens.
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
// selected machines that remain in the shard. machineCount is the number of all machines of
// the shard, which bounds how many are cordoned at once. The least loaded machines are
// chosen first, because replacing them frees capacity for the tasks of the other machines.
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

// NextRecord returns the record that should be stored now, or nil if nothing changes.
// movesCompleted is whether no move of a task is in progress: each moved task is available
// again, or its move has failed. The caller writes the record on the condition that the
// stored record has the returned version, and passes the result to ApplyWriteResult.
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

// areAllDrained reports whether the drained shards include all shards that the drain selects.
func (s *ShardDrain) areAllDrained(drained []string) bool {
	for _, zone := range s.zones {
		if !slices.Contains(drained, zone) {
			return false
		}
	}
	return true
}

// ApplyWriteResult applies the result of writing the record that NextRecord returned. If the
// record was written, the feed delivers it to ApplyRecord.
func (s *ShardDrain) ApplyWriteResult(written bool) {
	if !written {
		s.isWriteInFlight = false
	}
}
