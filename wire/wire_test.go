package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

func drawSubmission(t *rapid.T) Submission {
	amount := rapid.Float64Range(0, 1e6)
	name := rapid.StringMatching(`[a-z0-9-]{1,20}`)
	submission := Submission{
		ID:                  "run-" + rapid.StringMatching(`[0-9]{1,9}`).Draw(t, "id"),
		Class:               name.Draw(t, "class"),
		Team:                name.Draw(t, "team"),
		Kind:                rapid.SampledFrom([]JobKind{KindArray, KindService, KindGang}).Draw(t, "kind"),
		Priority:            rapid.SampledFrom([]Priority{PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow}).Draw(t, "priority"),
		Tasks:               rapid.IntRange(1, MaxTasks).Draw(t, "tasks"),
		CPUs:                amount.Draw(t, "cpus"),
		GPUs:                amount.Draw(t, "gpus"),
		MemoryGB:            amount.Draw(t, "mem"),
		Image:               name.Draw(t, "image"),
		ImageGB:             amount.Draw(t, "gb"),
		Types:               rapid.SliceOfN(name, 0, 4).Draw(t, "types"),
		Zone:                rapid.OneOf(rapid.Just(""), name).Draw(t, "zone"),
		OneZone:             rapid.Bool().Draw(t, "one"),
		Spread:              rapid.Bool().Draw(t, "spread"),
		Spot:                rapid.Bool().Draw(t, "spot"),
		EstimateS:           amount.Draw(t, "est"),
		CheckpointIntervalS: amount.Draw(t, "cp"),
		CheckpointSaveS:     amount.Draw(t, "save"),
	}
	if len(submission.Types) == 0 {
		submission.Types = nil
	}
	if rapid.Bool().Draw(t, "due") {
		d := amount.Draw(t, "deadline")
		submission.DeadlineS = &d
	}
	return submission
}

// asMap returns the JSON object of a submission. It adds the required booleans that the
// encoding omits when they are false.
func asMap(t *rapid.T, s Submission) map[string]any {
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]any{}
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	for _, f := range []string{"one_zone", "scatter", "loaners"} {
		if _, ok := m[f]; !ok {
			m[f] = false
		}
	}
	return m
}

func parse(t *rapid.T, m map[string]any) (Submission, string, error) {
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return ParseSubmission(b)
}

// An encoded submission is parsed to the same value. Unknown fields are ignored, and an
// optional field may be null or missing.
func TestSubmissionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawSubmission(t)
		m := asMap(t, want)
		m["unknown"] = rapid.SampledFrom([]any{1, "x", nil, []int{1}}).Draw(t, "unknown")
		for _, f := range []string{"builds", "yard", "due_s"} {
			if _, ok := m[f]; !ok && rapid.Bool().Draw(t, "null "+f) {
				m[f] = nil
			}
		}
		got, id, err := parse(t, m)
		if err != nil || id != want.ID || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v became %+v, %q, %v", want, got, id, err)
		}
	})
}

// A submission with a required field that is missing or of the wrong type is refused
// with the field's name. The job's id is still returned, so that a retry of an accepted
// job can be recognised.
func TestSubmissionRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := asMap(t, drawSubmission(t))
		id := m["uid"].(string)
		required := []string{"lane", "crew", "shape", "rank", "pieces", "cpus", "cards", "mem_gb", "kit",
			"pull_gb", "one_zone", "scatter", "loaners", "guess_s", "mark_every_s", "stow_s"}
		f := rapid.SampledFrom(required).Draw(t, "field")
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			delete(m, f)
		case 1:
			m[f] = nil
		case 2:
			m[f] = map[string]any{"a": 1}
		}
		_, got, err := parse(t, m)
		fe, ok := err.(*FieldError)
		if !ok || fe.Field != f || got != id {
			t.Fatalf("%s: %v, id %q", f, err, got)
		}
	})
}

func TestBadSubmissions(t *testing.T) {
	valid := `{"uid":"run-1","lane":"a","crew":"t","shape":"sweep","rank":"prod","pieces":1,"cpus":1,"cards":0,"mem_gb":1,"kit":"i","pull_gb":1,"one_zone":false,"scatter":false,"loaners":true,"guess_s":1,"mark_every_s":0,"stow_s":0}`
	if _, _, err := ParseSubmission([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for from, to := range map[string]string{
		`"pieces":1`: `"pieces":0`, `"cpus":1`: `"cpus":-1`, `"mem_gb":1`: `"mem_gb":1e999`, `"run-1"`: `"job-1"`,
		`"sweep"`: `"heap"`, `"prod"`: `"top"`, `"cards":0`: `"cards":"0"`, `"pull_gb":1`: `"pull_gb":NaN`,
	} {
		if _, _, err := ParseSubmission([]byte(strings.Replace(valid, from, to, 1))); err == nil {
			t.Errorf("%s was accepted", to)
		}
	}
	for _, s := range []string{"", "null", "[]", "7", `"x"`, "{", valid + valid} {
		if _, _, err := ParseSubmission([]byte(s)); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}

// The error for a value that is not allowed lists the allowed values.
func TestSubmissionNamesAllowedValues(t *testing.T) {
	for body, want := range map[string]string{
		`{"uid":"run-1","lane":"a","crew":"t","shape":"heap","rank":"prod"}`:    "shape: must be one of sweep, standing, ensemble",
		`{"uid":"run-1","lane":"a","crew":"t","shape":"","rank":"prod"}`:        "shape: must be one of sweep, standing, ensemble",
		`{"uid":"run-1","lane":"a","crew":"t","rank":"prod"}`:                   "shape: is missing",
		`{"uid":"run-1","lane":"a","crew":"t","shape":7,"rank":"prod"}`:         "shape: has the wrong type",
		`{"uid":"run-1","lane":"a","crew":"t","shape":"sweep","rank":"top"}`:    "rank: must be one of prod, urgent, standard, best_effort",
		`{"uid":"run-1","lane":"a","crew":"t","shape":"sweep","rank":null}`:     "rank: is missing",
		`{"uid":"run-1","lane":"a","crew":"t","shape":"sweep","rank":["prod"]}`: "rank: has the wrong type",
	} {
		if _, _, err := ParseSubmission([]byte(body)); err == nil || err.Error() != want {
			t.Errorf("%s: error %v, wanted %s", body, err, want)
		}
	}
}

func TestTaskNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := "run-" + rapid.StringMatching(`[0-9]{1,9}`).Draw(t, "job")
		i := rapid.IntRange(0, MaxTasks-1).Draw(t, "i")
		if j, n, ok := ParseTaskName(TaskName(job, i)); !ok || j != job || n != i {
			t.Fatalf("%s/%d became %s/%d %v", job, i, j, n, ok)
		}
		if _, _, ok := ParseTaskName(rapid.StringMatching(`(run-1)?/?(-1|01|\+1|100000|x)?`).Draw(t, "bad")); ok {
			t.Fatal("a malformed name was accepted")
		}
	})
}
