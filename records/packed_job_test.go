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
	j := &Job{ID: "run-1", AcceptedMS: rapid.Int64Range(0, 1<<45).Draw(t, "at"), Spec: wire.Submission{
		ID: "run-1", Class: "formula-sweep", Team: "color-lab", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		CPUs: 4, MemoryGB: 12, Image: "img-07", ImageGB: 0.7, EstimateS: 20}}
	next := 0
	for range rapid.IntRange(0, 400).Draw(t, "chunks") {
		next += rapid.IntRange(0, 2).Draw(t, "gap")
		n := rapid.IntRange(1, 40).Draw(t, "tasks")
		j.Assignments = append(j.Assignments, Assignment{From: next, To: next + n, Shard: rapid.SampledFrom([]string{"back-room", "loading-dock", "mill-annex"}).Draw(t, "part"),
			Closed: rapid.Bool().Draw(t, "closed"), KeepWaiting: rapid.Bool().Draw(t, "keep"), Guaranteed: rapid.Bool().Draw(t, "guaranteed")})
		next += n
	}
	j.Spec.Tasks = next + rapid.IntRange(1, 5).Draw(t, "rest")
	j.Normalize()
	return j
}

// withoutClosedDetails clears of closed assignments what no longer matters.
func withoutClosedDetails(j *Job) *Job {
	c := j.Clone()
	for i := range c.Assignments {
		if ch := &c.Assignments[i]; ch.Closed {
			ch.Shard, ch.KeepWaiting, ch.Guaranteed = "", false, false
		}
	}
	c.Normalize()
	if len(c.Assignments) == 0 {
		c.Assignments = nil
	}
	return c
}

// A record that the version before could leave, of any number of assignments that fit
// its limits, can be written under the limits to come, and says the same.
func TestLargeRecordIsPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		limits := SizeLimits{Current: 16 << 10, Next: 2 << 10}
		if len(Encode(j)) > limits.Current {
			t.Skip("the version before could not have written it")
		}
		if v, ok := limits.Encode(j, j); !ok || string(v) != string(Encode(j)) {
			t.Fatalf("not written plainly (%v) while the version before may read it", ok)
		}
		limits.PackingEnabled = true
		value, ok := limits.Encode(j, j)
		if !ok || len(value) > limits.Next {
			t.Fatalf("%d bytes of %d for %d assignments", len(value), limits.Next, len(j.Assignments))
		}
		got, err := Decode(KeyJob(j.ID), value)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(withoutClosedDetails(got.(*Job)), withoutClosedDetails(j)) {
			t.Fatalf("%+v became %+v", withoutClosedDetails(j), withoutClosedDetails(got.(*Job)))
		}
	})
}

// What the leader may add to a record leaves room for its end while nothing may be
// packed yet.
func TestExtendedRecordFitsUntilEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := drawJob(t)
		j := previous.Clone()
		j.Assignments = append(j.Assignments, Assignment{From: j.Spec.Tasks - 1, To: j.Spec.Tasks, Shard: "mill-annex", KeepWaiting: true})
		limits := SizeLimits{Current: 16 << 10, Next: rapid.IntRange(300, 8<<10).Draw(t, "next")}
		if _, ok := limits.EncodeWithHeadroom(j, previous); !ok {
			return
		}
		end := j.Clone()
		end.End = wire.JobCancelled
		for i := range end.Assignments {
			end.Assignments[i].Closed = true // not joined, at worst
		}
		if v, ok := limits.Encode(end, j); !ok {
			t.Fatalf("%d bytes at the end, %d before, of %d", len(v), len(Encode(j)), limits.Next)
		}
	})
}

// A specification as long as the version before took it can still end: names of
// full length, and as many machine types as may be named.
func TestLongSpecificationIsPackedAtEnd(t *testing.T) {
	j := &Job{ID: "run-1", Spec: wire.Submission{ID: "run-1", Kind: wire.KindArray, Tasks: 9}}
	for i := range 32 {
		j.Spec.Types = append(j.Spec.Types, fmt.Sprintf("%0100d-kind-%02d", 7, i))
	}
	limits := SizeLimits{Current: 8 << 10, Next: 2 << 10, PackingEnabled: true}
	if limits.FitsUntilEnd(j, []string{"a", "b"}) {
		t.Error("accepted though it cannot be stored plainly")
	}
	previous := *j
	j.End = wire.JobCancelled
	value, ok := limits.Encode(j, &previous)
	if !ok {
		t.Fatalf("%d bytes", len(value))
	}
	if got, err := Decode(KeyJob("run-1"), value); err != nil || !reflect.DeepEqual(got, j) {
		t.Fatalf("%+v, %v", got, err)
	}
}

// One that no packing makes small enough can still be cancelled, and says what
// users and team limits need.
func TestAnySpecificationCanBeCancelled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9]{128}`)
		j := &Job{ID: "run-1", End: wire.JobCancelled, Spec: wire.Submission{ID: "run-1", Class: name.Draw(t, "class"), Team: name.Draw(t, "team"),
			Kind: wire.KindArray, Tasks: 9, CPUs: 3, Image: name.Draw(t, "image"), Types: rapid.SliceOfN(name, 32, 32).Draw(t, "types")}}
		j.Assignments = []Assignment{{From: 0, To: 4, Shard: "a"}, {From: 4, To: 9, Shard: "b", Closed: true}}
		previous := *j
		previous.End = ""
		value, ok := SizeLimits{Current: 8 << 10, Next: 2 << 10, PackingEnabled: true}.Encode(j, &previous)
		if !ok {
			t.Fatalf("%d bytes", len(value))
		}
		rec, err := Decode(KeyJob("run-1"), value)
		if err != nil {
			t.Fatal(err)
		}
		got := rec.(*Job)
		if got.End != j.End || got.Spec.Team != j.Spec.Team || got.Spec.CPUs != 3 || got.Spec.Tasks != 9 || !reflect.DeepEqual(withoutClosedDetails(got).Assignments, withoutClosedDetails(j).Assignments) {
			t.Fatalf("%+v", got)
		}
	})
}

// Whatever stands under a job's key, reading it is an error at worst.
func TestUnpackingAnythingDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := json.Marshal(rapid.SliceOfN(rapid.OneOf(rapid.StringMatching(`[A-Z0-9a-z]{0,12}`).AsAny(), rapid.Int().AsAny()), 0, 4).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = Decode(KeyJob("run-1"), b) // must not panic
	})
}

// The version before reads and rewrites a job's record with types of its own,
// frozen here. What it loses must be nothing that safety rests on.
type previousVersionJob struct {
	Spec        json.RawMessage `json:"spec"`
	AcceptedMS  int64           `json:"at"`
	End         string          `json:"end,omitempty"`
	Assignments []struct {
		From       int    `json:"f"`
		To         int    `json:"t"`
		Shard      string `json:"p"`
		Closed     bool   `json:"c,omitempty"`
		Keep       bool   `json:"k,omitempty"`
		Guaranteed bool   `json:"g,omitempty"`
	} `json:"ch,omitempty"`
}

func TestPreviousVersionRewritesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		var f previousVersionJob
		if err := json.Unmarshal(Encode(j), &f); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(KeyJob(j.ID), b); err != nil || !reflect.DeepEqual(withoutClosedDetails(got.(*Job)), withoutClosedDetails(j)) {
			t.Fatalf("%+v became %+v, %v", j, got, err)
		}
		if err := json.Unmarshal(packJob(j), &previousVersionJob{}); err == nil {
			t.Fatal("the version before would take a packed record for a job without assignments")
		}
	})
}

// keyKind is the kind of record that a key is for.
func keyKind(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	return kind
}

// What the version before wrote, produced by running it, is read to the last field.
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
		rec, err := Decode(key, value)
		if err != nil || rec == nil {
			t.Fatalf("%s: %v", key, err)
		}
		var was, is any
		if err := json.Unmarshal(value, &was); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(Encode(rec), &is); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(was, is) {
			t.Errorf("%s: %v became %v", key, was, is)
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
