package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

func testEvent(i int) Event {
	return Event{At: time.Unix(int64(i), 0).UTC(), Observer: "n-0", Controller: fmt.Sprintf("n-%d", i%5), Incarnation: uint64(i) + 1, From: "alive", To: "suspect",
		Evidence: []string{"unserved"}, Accusers: []string{"n-0", "n-1"}}
}

func writeEvents(t *testing.T, path string, minEvents, n int) {
	t.Helper()
	f, err := Open(path, minEvents)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for i := range n {
		if err := f.Append(testEvent(i)); err != nil {
			t.Fatal(err)
		}
	}
}

// Appended events are read back in order after restarts. Only the latest events are kept, and
// the size of the file is bounded.
func TestHistoryIsKeptWithinItsLimit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	const limit = 50
	largest := int64(0)
	for i := range 10 * limit {
		f, err := Open(path, limit)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Append(testEvent(i)); err != nil {
			t.Fatal(err)
		}
		if got := f.Latest(1); len(got) != 1 || !reflect.DeepEqual(got[0], testEvent(i)) {
			t.Fatalf("the latest of %d is %v", i, got)
		}
		f.Close()
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, info.Size())
	}
	events, err := Read(path)
	if err != nil || len(events) < limit || len(events) > 2*limit {
		t.Fatalf("%d events, %v", len(events), err)
	}
	for i, e := range events {
		if want := testEvent(10*limit - len(events) + i); !reflect.DeepEqual(e, want) {
			t.Fatalf("event %d is %v, not %v", i, e, want)
		}
	}
	if largest > 2*limit*200 {
		t.Errorf("the file grew to %d bytes", largest)
	}
}

// corrupted returns a copy of data that is truncated or has one byte changed.
func corrupted(t *rapid.T, data []byte) []byte {
	damaged := append([]byte(nil), data...)
	at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
	if rapid.Bool().Draw(t, "truncated") {
		return damaged[:at]
	}
	damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
	return damaged
}

// A file that is truncated or has one byte changed is read up to the damage. The damage is
// reported, the file is renamed, and appending to the history continues in a new file.
func TestDamagedHistoryIsReadUpToTheDamage(t *testing.T) {
	dir := t.TempDir()
	originalPath := filepath.Join(dir, "whole")
	const n = 20
	writeEvents(t, originalPath, n, n)
	data, err := os.ReadFile(originalPath)
	if err != nil {
		t.Fatal(err)
	}
	foundCauses := map[error]bool{}
	rapid.Check(t, func(t *rapid.T) {
		path := filepath.Join(dir, "damaged")
		damaged := corrupted(t, data)
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		events, err := Read(path)
		var damage *DamageError
		if err != nil && !errors.As(err, &damage) {
			t.Fatal(err)
		}
		for i, e := range events {
			if !reflect.DeepEqual(e, testEvent(i)) {
				t.Fatalf("event %d was read as %v", i, e)
			}
		}
		if damage == nil && len(damaged) == len(data) {
			t.Fatal("a changed byte was not noticed")
		}
		if damage != nil {
			foundCauses[damage.Cause] = true
			if damage.Events != len(events) || damage.Offset > len(damaged) {
				t.Fatalf("%+v with %d events", damage, len(events))
			}
		}
		f, err := Open(path, n)
		if f == nil {
			t.Fatal(err)
		}
		defer f.Close()
		if (err != nil) != (damage != nil) {
			t.Fatalf("opened with %v, read with %v", err, damage)
		}
		if err := f.Append(testEvent(len(events))); err != nil {
			t.Fatal(err)
		}
		reread, err := Read(path)
		if err != nil || len(reread) != min(len(events), n)+1 {
			t.Fatalf("%d events after %d, %v", len(reread), len(events), err)
		}
	})
	for _, cause := range []error{errNotHistory, errTruncated, errChecksumMismatch} {
		if !foundCauses[cause] {
			t.Errorf("no input caused: %v", cause)
		}
	}
}

// A frame length above the maximum is reported as damage.
func TestImpossibleFrameLengthIsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	huge := append([]byte(magic), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0)
	if err := os.WriteFile(path, huge, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); !errors.Is(err, errFrameLength) {
		t.Errorf("a frame length above the maximum: %v", err)
	}
}

// Reading a missing file is an error; opening a missing file creates it.
func TestMissingHistory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members")
	if _, err := Read(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
	writeEvents(t, path, 5, 0)
	if events, err := Read(path); err != nil || len(events) != 0 {
		t.Errorf("%v, %v", events, err)
	}
	if _, err := Open(filepath.Join(path, "below a file"), 5); err == nil {
		t.Error("a file below a file was opened")
	}
	if line := testEvent(3).String(); !strings.Contains(line, "n-3 alive -> suspect") || !strings.Contains(line, "evidence=unserved") {
		t.Error(line)
	}
}

// The names of the fields in stored events do not change.
func TestStoredFormOfEvents(t *testing.T) {
	const want = `{"at":"1970-01-01T00:00:03Z","by":"n-0","node":"n-3","proc":4,"from":"alive","to":"suspect","ev":["unserved"],"acc":["n-0","n-1"]}`
	stored, err := json.Marshal(testEvent(3))
	if err != nil || string(stored) != want {
		t.Errorf("%s, %v", stored, err)
	}
}
