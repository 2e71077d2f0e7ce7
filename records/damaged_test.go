package records

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenport/wire"
)

// A damaged value under rv/job/ ended every controller that read it, one after the other: a
// run code of 15 or more letters overflowed, and the index of its shard came out negative
// ("index out of range [-...]" in decodeRuns). A packed record must be refused as a whole
// wherever its runs cannot be those of its job.

// decodeWithoutPanic decodes a record and reports a panic as a test error.
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
		"a code that overflows to a negative one": strings.Repeat("A", 14) + "Y1",
		"a code of 15 letters":                    strings.Repeat("Z", 15) + "1",
		"a code of 40 letters":                    strings.Repeat("N", 40) + "1",
		"a code that overflows to a valid one":    "C" + strings.Repeat("A", 80) + "B1",
		"a shard that is not named":               "G1",
		"more tasks than the job has":             "C15",
		"more tasks than the job has, in two":     "C10B5",
		"more tasks than fit a number":            "Czzzzzzzzz",
		"no number":                               "C",
		"a negative number":                       "C-1",
		"a small letter first":                    "c1",
	} {
		t.Run(name, func(t *testing.T) {
			value := fmt.Sprintf(`[%s,%q,["a"]]`, spec, runs)
			record, err := decodeWithoutPanic(t, KeyJob("run-1"), value)
			if err == nil {
				t.Errorf("it was read: %+v", record)
			}
			if !errors.Is(err, ErrDamaged) {
				t.Errorf("%v is no ErrDamaged", err)
			}
		})
	}
}

// What an undamaged record may hold is read as before.
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

// A plain record, too, is refused where its assignments cannot be those of its job: whoever
// reads it makes a task for each number in them.
func TestDamagedAssignmentsAreRefused(t *testing.T) {
	for name, assignments := range map[string]string{
		"below the first task": `[{"f":-1,"t":4,"p":"a"}]`,
		"beyond the last task": `[{"f":0,"t":5,"p":"a"}]`,
		"far beyond it":        `[{"f":0,"t":4000000000,"p":"a"}]`,
		"backwards":            `[{"f":3,"t":1,"p":"a"}]`,
		"one task in two":      `[{"f":0,"t":3,"p":"a"},{"f":2,"t":4,"p":"b"}]`,
	} {
		t.Run(name, func(t *testing.T) {
			value := fmt.Sprintf(`{"spec":{"shape":"sweep","pieces":4},"at":5,"ch":%s}`, assignments)
			if record, err := decodeWithoutPanic(t, KeyJob("run-1"), value); err == nil {
				t.Errorf("it was read: %+v", record)
			}
		})
	}
}
