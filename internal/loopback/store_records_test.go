package loopback

import (
	"encoding/json"
	"slices"
	"strings"

	"ravenport/records"
)

// shardOwner returns the controller that holds the term of a zone's shard, and the number of
// the term.
func (s *store) shardOwner(zone string) (controller string, term uint64) {
	return s.termHolder(records.KeyShard(zone))
}

// leader returns the controller that holds the leader's term.
func (s *store) leader() string {
	controller, _ := s.termHolder(records.KeyLeader)
	return controller
}

// termHolder returns the controller and the number in the record of a term, or "" and 0 if
// there is no record.
func (s *store) termHolder(key string) (controller string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return "", 0
	}
	record, err := records.Decode(key, e.value)
	if err != nil {
		panic(err) // a controller has written an invalid record
	}
	t := record.(*records.Term)
	return t.Controller, t.Number
}

// unassignedTasks returns the number of tasks of job arrays that are in no assignment, and
// the store's revision at which they were counted.
func (s *store) unassignedTasks() (tasks int, revision uint64) {
	s.mu.Lock()
	values := map[string]json.RawMessage{}
	for key, e := range s.keys {
		if strings.HasPrefix(key, records.KeyJob("")) {
			values[key] = e.value
		}
	}
	revision = s.revision
	s.mu.Unlock()
	for key, value := range values {
		record, err := records.Decode(key, value)
		if err != nil {
			panic(err) // a controller has written an invalid record
		}
		if j := record.(*records.Job); j.End == "" && !j.Spec.IsService() {
			tasks += records.TasksIn(j.Unassigned())
		}
	}
	return tasks, revision
}

// recordsUnder returns the records whose keys have a prefix. It skips values that are not
// records.
func (s *store) recordsUnder(prefix string) []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []any
	for key, e := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if record, err := records.Decode(key, e.value); err == nil {
			out = append(out, record)
		}
	}
	return out
}

// zoneWithClaim returns a zone whose shard's owner claims part of a disruption budget, or ""
// if there is no such zone.
func (s *store) zoneWithClaim() string {
	for _, record := range s.recordsUnder(records.KeyDisruptionClaim("")) {
		c := record.(*records.DisruptionClaim)
		for _, n := range c.Unavailable {
			if n > 0 {
				return c.Shard
			}
		}
	}
	return ""
}

// zoneWithTerminatingMachine returns a zone with a machine that the inventory in the store
// marks as terminating, or "" if there is no such zone.
func (s *store) zoneWithTerminatingMachine() string {
	for _, record := range s.recordsUnder(records.KeyPrefix) {
		page, ok := record.(*records.InventoryPage)
		if ok && slices.ContainsFunc(page.Machines(), func(m records.Machine) bool { return m.Terminating }) {
			return page.Shard
		}
	}
	return ""
}
