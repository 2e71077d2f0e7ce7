package records

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"ravenport/wire"
)

// fuzzKeys contains keys of every kind of record.
var fuzzKeys = []string{
	KeyLeader, KeyShard("a"), KeyController("n-0"), KeyRevocation("n-0"), KeyInventory("a", 2), KeyJob("run-000001"),
	KeyDrain(3), KeyDisruptionClaim("a"), KeyPrefix + "unknown/x", "",
}

// FuzzDecode checks that decoding any value under any key does not panic. Decode either
// returns ErrDamaged, or a record that is the same after it was encoded and decoded again.
func FuzzDecode(f *testing.F) {
	spec := wire.Submission{Class: "c", Kind: wire.KindArray, Tasks: 40, CPUs: 1}
	job := &Job{ID: "run-000001", Spec: spec, Assignments: []Assignment{{From: 0, To: 7, Shard: "a", Closed: true}, {From: 9, To: 40, Shard: "b", KeepWaiting: true}}}
	page := &InventoryPage{}
	page.Add(Machine{Name: "m-1", Type: "box", Addr: "10.0.0.9:9000", Terminating: true})
	for i, key := range fuzzKeys {
		f.Add(i, []byte(Encode(job)))
		f.Add(i, []byte(packJob(job)))
		f.Add(i, []byte(Encode(page)))
		f.Add(i, []byte(`{"node":"n-0","inc":7,"term":3,"cut":true,"life":3500,"by":"n-1","state":"running"}`))
		f.Add(i, []byte(key))
	}
	for _, runs := range []string{strings.Repeat("A", 14) + "Y1", strings.Repeat("Z", 15) + "1", "C15", "c1", "", "A1B2C3D4"} {
		f.Add(5, []byte(`[{"spec":{"shape":"sweep","pieces":40}},"`+runs+`",["a"]]`))
	}
	f.Add(5, []byte(`["AAAA"]`))
	f.Add(5, []byte(`[null,null,null]`))
	f.Fuzz(func(t *testing.T, keyIndex int, value []byte) {
		key := fuzzKeys[uint(keyIndex)%uint(len(fuzzKeys))]
		record, err := Decode(key, value)
		if err != nil {
			if !errors.Is(err, ErrDamaged) {
				t.Errorf("error %v does not wrap ErrDamaged", err)
			}
			return
		}
		if record == nil {
			return
		}
		reread, err := Decode(key, Encode(record))
		if err != nil {
			t.Fatalf("record decoded from %q cannot be encoded and decoded again: %v", value, err)
		}
		if !reflect.DeepEqual(Encode(record), Encode(reread)) {
			t.Errorf("%s became %s after encoding and decoding", Encode(record), Encode(reread))
		}
		checkDecodedJob(t, record)
	})
}

// checkDecodedJob checks that the assignments of a decoded job do not overlap and stay within
// the job's tasks, and that the job can be decoded after it was packed.
func checkDecodedJob(t *testing.T, record Record) {
	t.Helper()
	job, ok := record.(*Job)
	if !ok {
		return
	}
	unassigned := 0
	for _, r := range job.Unassigned() {
		unassigned += r.Tasks()
	}
	assigned := 0
	for _, assignment := range job.Assignments {
		assigned += assignment.Tasks()
	}
	if job.Spec.Tasks >= 0 && assigned+unassigned != job.Spec.Tasks {
		t.Errorf("%d assigned and %d unassigned tasks, but the job has %d", assigned, unassigned, job.Spec.Tasks)
	}
	if _, err := Decode(KeyJob(job.ID), packJob(job)); err != nil {
		t.Errorf("%+v cannot be decoded after it was packed: %v", job, err)
	}
}
