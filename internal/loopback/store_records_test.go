package loopback

import (
	"encoding/json"
	"slices"
	"strings"

	"ravenport/records"
)

// shardOwner returns the controller that holds a shard's term, and the term.
func (s *store) shardOwner(zone string) (controller string, term uint64) {
	return s.termHolder(records.KeyShard(zone))
}

// leader returns the controller that holds the leader's term.
func (s *store) leader() string {
	controller, _ := s.termHolder(records.KeyLeader)
	return controller
}

// termHolder returns what the record of a term says; empty and 0 without a record.
func (s *store) termHolder(key string) (controller string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return "", 0
	}
	record, err := records.Decode(key, e.value)
	if err != nil {
		panic(err) // the controllers' own record
	}
	t := record.(*records.Term)
	return t.Controller, t.Number
}

// unassignedTasks counts the tasks of job arrays that are in no assignment, at a revision.
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
			panic(err) // the controllers' own record
		}
		if j := record.(*records.Job); j.End == "" && !j.Spec.IsService() {
			tasks += records.TasksIn(j.Unassigned())
		}
	}
	return tasks, revision
}

// recordsUnder decodes the records whose keys have a prefix; others there are skipped.
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

// zoneWithClaim returns a zone whose owner claims part of a disruption budget; empty if
// none does.
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

// zoneWithTerminatingMachine returns a zone with a machine that is durably marked for its
// return; empty if there is none.
func (s *store) zoneWithTerminatingMachine() string {
	for _, record := range s.recordsUnder(records.KeyPrefix) {
		page, ok := record.(*records.InventoryPage)
		if ok && slices.ContainsFunc(page.Machines(), func(m records.Machine) bool { return m.Terminating }) {
			return page.Shard
		}
	}
	return ""
}
