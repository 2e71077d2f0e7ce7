package records

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
	"ravenport/wire"
)

func drawJob(t *rapid.T) *Job {
	job := &Job{ID: "run-1", AcceptedMS: rapid.Int64Range(0, 1<<45).Draw(t, "at"), Spec: wire.Submission{
		ID: "run-1", Class: "formula-sweep", Team: "color-lab", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		CPUs: 4, MemoryGB: 12, Image: "img-07", ImageGB: 0.7, EstimateS: 20}}
	next := 0
	for range rapid.IntRange(0, 400).Draw(t, "chunks") {
		next += rapid.IntRange(0, 2).Draw(t, "gap")
		n := rapid.IntRange(1, 40).Draw(t, "tasks")
		job.Assignments = append(job.Assignments, Assignment{From: next, To: next + n, Shard: rapid.SampledFrom([]string{"back-room", "loading-dock", "mill-annex"}).Draw(t, "part"),
			Closed: rapid.Bool().Draw(t, "closed"), KeepWaiting: rapid.Bool().Draw(t, "keep"), Guaranteed: rapid.Bool().Draw(t, "guaranteed")})
		next += n
	}
	job.Spec.Tasks = next + rapid.IntRange(1, 5).Draw(t, "rest")
	job.Normalize()
	return job
}

// withoutClosedDetails returns a copy of the job in which closed assignments have only their
// range, since packing does not keep their other fields.
func withoutClosedDetails(j *Job) *Job {
	clone := j.Clone()
	for i := range clone.Assignments {
		if assignment := &clone.Assignments[i]; assignment.Closed {
			assignment.Shard, assignment.KeepWaiting, assignment.Guaranteed = "", false, false
		}
	}
	clone.Normalize()
	if len(clone.Assignments) == 0 {
		clone.Assignments = nil
	}
	return clone
}

// A record that the previous version may have stored, with any number of assignments within
// that version's limits, can be stored under the smaller next limit. It decodes to the same
// job.
func TestLargeRecordIsPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		limits := SizeLimits{Current: 16 << 10, Next: 2 << 10}
		if len(Encode(job)) > limits.Current {
			t.Skip("record exceeds the limit of the previous version")
		}
		if v, ok := limits.Encode(job, job); !ok || string(v) != string(Encode(job)) {
			t.Fatalf("not encoded as plain JSON (%v) while the previous version may read it", ok)
		}
		limits.PackingEnabled = true
		value, ok := limits.Encode(job, job)
		if !ok || len(value) > limits.Next {
			t.Fatalf("%d bytes exceed the limit of %d bytes with %d assignments", len(value), limits.Next, len(job.Assignments))
		}
		got, err := Decode(KeyJob(job.ID), value)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(withoutClosedDetails(got.(*Job)), withoutClosedDetails(job)) {
			t.Fatalf("%+v became %+v", withoutClosedDetails(job), withoutClosedDetails(got.(*Job)))
		}
	})
}

// While packing is not enabled, the leader may extend a record only as far as the record
// still fits the size limit when the job ends.
func TestExtendedRecordFitsUntilEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := drawJob(t)
		job := previous.Clone()
		job.Assignments = append(job.Assignments, Assignment{From: job.Spec.Tasks - 1, To: job.Spec.Tasks, Shard: "mill-annex", KeepWaiting: true})
		limits := SizeLimits{Current: 16 << 10, Next: rapid.IntRange(300, 8<<10).Draw(t, "next")}
		if _, ok := limits.EncodeWithHeadroom(job, previous); !ok {
			return
		}
		end := job.Clone()
		end.End = wire.JobCancelled
		for i := range end.Assignments {
			end.Assignments[i].Closed = true // not merged, which is the worst case for the size
		}
		if v, ok := limits.Encode(end, job); !ok {
			t.Fatalf("%d bytes at the end and %d bytes before, with a limit of %d bytes", len(v), len(Encode(job)), limits.Next)
		}
	})
}

// A job with the longest specification that the previous version accepted can still be
// ended: with names of maximum length and the maximum number of machine types.
func TestLongSpecificationIsPackedAtEnd(t *testing.T) {
	job := &Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Kind: wire.KindArray, Tasks: 9}}
	for i := range 32 {
		job.Spec.Types = append(job.Spec.Types, fmt.Sprintf("%0100d-kind-%02d", 7, i))
	}
	limits := SizeLimits{Current: 8 << 10, Next: 2 << 10, PackingEnabled: true}
	if limits.FitsUntilEnd(job, []string{"a", "b"}) {
		t.Error("job was accepted although it exceeds the size limit as plain JSON")
	}
	previous := *job
	job.End = wire.JobCancelled
	value, ok := limits.Encode(job, &previous)
	if !ok {
		t.Fatalf("record of %d bytes cannot be stored", len(value))
	}
	if got, err := Decode(KeyJob("run-1"), value); err != nil || !reflect.DeepEqual(got, job) {
		t.Fatalf("%+v, %v", got, err)
	}
}

// A job whose record exceeds the size limit even when it is packed can still be cancelled.
// The reduced record keeps the fields that users and team limits need.
func TestAnySpecificationCanBeCancelled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9]{128}`)
		job := &Job{ID: "run-1", End: wire.JobCancelled, Spec: wire.Submission{ID: "run-1", Class: name.Draw(t, "class"), Team: name.Draw(t, "team"),
			Kind: wire.KindArray, Tasks: 9, CPUs: 3, Image: name.Draw(t, "image"), Types: rapid.SliceOfN(name, 32, 32).Draw(t, "types")}}
		job.Assignments = []Assignment{{From: 0, To: 4, Shard: "a"}, {From: 4, To: 9, Shard: "b", Closed: true}}
		previous := *job
		previous.End = ""
		value, ok := SizeLimits{Current: 8 << 10, Next: 2 << 10, PackingEnabled: true}.Encode(job, &previous)
		if !ok {
			t.Fatalf("record of %d bytes cannot be stored", len(value))
		}
		record, err := Decode(KeyJob("run-1"), value)
		if err != nil {
			t.Fatal(err)
		}
		got := record.(*Job)
		if got.End != job.End || got.Spec.Team != job.Spec.Team || got.Spec.CPUs != 3 || got.Spec.Tasks != 9 || !reflect.DeepEqual(withoutClosedDetails(got).Assignments, withoutClosedDetails(job).Assignments) {
			t.Fatalf("%+v", got)
		}
	})
}

// Decoding any value under a job's key returns an error at worst and must not panic.
func TestUnpackingAnythingDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := json.Marshal(rapid.SliceOfN(rapid.OneOf(rapid.StringMatching(`[A-Z0-9a-z]{0,12}`).AsAny(), rapid.Int().AsAny()), 0, 4).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = Decode(KeyJob("run-1"), b) // must not panic
	})
}

// previousVersionJob is a fixed copy of the type with which the previous version decodes and
// rewrites a job's record. Fields that get lost in this way must not be needed for safety.
type previousVersionJob struct {
	Spec        json.RawMessage `json:"spec"`
	AcceptedMS  int64           `json:"at"`
	End         string          `json:"end,omitempty"`
	Assignments []struct {
		From        int    `json:"f"`
		To          int    `json:"t"`
		Shard       string `json:"p"`
		Closed      bool   `json:"c,omitempty"`
		KeepWaiting bool   `json:"k,omitempty"`
		Guaranteed  bool   `json:"g,omitempty"`
	} `json:"ch,omitempty"`
}

func TestPreviousVersionRewritesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		var rewritten previousVersionJob
		if err := json.Unmarshal(Encode(job), &rewritten); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(rewritten)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(KeyJob(job.ID), b); err != nil || !reflect.DeepEqual(withoutClosedDetails(got.(*Job)), withoutClosedDetails(job)) {
			t.Fatalf("%+v became %+v, %v", job, got, err)
		}
		if err := json.Unmarshal(packJob(job), &previousVersionJob{}); err == nil {
			t.Fatal("the previous version would decode a packed record as a job without assignments")
		}
	})
}

// keyKind returns the kind of record that is stored under a key.
func keyKind(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	return kind
}

// Records that were written by running the previous version are decoded with all their
// fields.
func TestReadsRecordsOfPreviousVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var records map[string]json.RawMessage
	if err := json.Unmarshal(text, &records); err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for key, value := range records {
		record, err := Decode(key, value)
		if err != nil || record == nil {
			t.Fatalf("%s: %v", key, err)
		}
		var stored, reencoded any
		if err := json.Unmarshal(value, &stored); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(Encode(record), &reencoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(stored, reencoded) {
			t.Errorf("%s: %v became %v", key, stored, reencoded)
		}
		kind := keyKind(key)
		kinds[kind]++
	}
	for _, kind := range []string{"job", "part", "leader", "roster", "node"} {
		if kinds[kind] == 0 {
			t.Errorf("no record of kind %s among %v", kind, kinds)
		}
	}
}
