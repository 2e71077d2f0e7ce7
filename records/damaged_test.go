package records

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenport/wire"
)

// These tests guard against a damaged value under rv/job/ that crashed every controller that
// read it, one after the other. A run code of 15 or more letters overflowed, and the shard
// index became negative ("index out of range [-...]" in decodeRuns). Decode must reject the
// whole packed record if its runs are not valid for its job.

// decodeWithoutPanic decodes a record. It reports a panic as a test error.
func decodeWithoutPanic(t *testing.T, key, value string) (record Record, err error) {
	t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("decoding %.60s panics: %v", value, cause)
		}
	}()
	return Decode(key, []byte(value))
}

func TestDamagedRunsAreRefused(t *testing.T) {
	const tasks = 40
	spec := string(Encode(Job{Spec: wire.Submission{Kind: wire.KindArray, Tasks: tasks}}))
	for name, runs := range map[string]string{
		"a code that overflows to a negative one":  strings.Repeat("A", 14) + "Y1",
		"a code of 15 letters":                     strings.Repeat("Z", 15) + "1",
		"a code of 40 letters":                     strings.Repeat("N", 40) + "1",
		"a code that overflows to a valid one":     "C" + strings.Repeat("A", 80) + "B1",
		"a shard that is not in the list":          "G1",
		"more tasks than the job has":              "C15",
		"more tasks than the job has, in two runs": "C10B5",
		"a number of tasks that overflows":         "Czzzzzzzzz",
		"no number of tasks":                       "C",
		"a negative number of tasks":               "C-1",
		"a lower-case letter as the code":          "c1",
	} {
		t.Run(name, func(t *testing.T) {
			value := fmt.Sprintf(`[%s,%q,["a"]]`, spec, runs)
			record, err := decodeWithoutPanic(t, KeyJob("run-1"), value)
			if err == nil {
				t.Errorf("damaged record was decoded: %+v", record)
			}
			if !errors.Is(err, ErrDamaged) {
				t.Errorf("error %v does not wrap ErrDamaged", err)
			}
		})
	}
}

// The checks for damaged records must not reject a record with unassigned tasks, open
// assignments and closed assignments.
func TestValidRunsAreRead(t *testing.T) {
	spec := string(Encode(Job{Spec: wire.Submission{Kind: wire.KindArray, Tasks: 40}}))
	value := fmt.Sprintf(`[%s,"A2C11B1",["a"]]`, spec)
	record, err := decodeWithoutPanic(t, KeyJob("run-1"), value)
	if err != nil {
		t.Fatal(err)
	}
	want := []Assignment{{From: 2, To: 39, Shard: "a"}, {From: 39, To: 40, Closed: true}}
	if got := record.(*Job).Assignments; len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("assignments %+v", got)
	}
}

// A plain record must also be rejected if its assignments are not valid for its job, because
// the controllers that read it create a task for each task number in the assignments.
func TestDamagedAssignmentsAreRefused(t *testing.T) {
	for name, assignments := range map[string]string{
		"below the first task":        `[{"f":-1,"t":4,"p":"a"}]`,
		"beyond the last task":        `[{"f":0,"t":5,"p":"a"}]`,
		"far beyond the last task":    `[{"f":0,"t":4000000000,"p":"a"}]`,
		"backwards":                   `[{"f":3,"t":1,"p":"a"}]`,
		"one task in two assignments": `[{"f":0,"t":3,"p":"a"},{"f":2,"t":4,"p":"b"}]`,
	} {
		t.Run(name, func(t *testing.T) {
			value := fmt.Sprintf(`{"spec":{"shape":"sweep","pieces":4},"at":5,"ch":%s}`, assignments)
			if record, err := decodeWithoutPanic(t, KeyJob("run-1"), value); err == nil {
				t.Errorf("damaged record was decoded: %+v", record)
			}
		})
	}
}
