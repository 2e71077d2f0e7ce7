package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ravenport/history"
)

// The command needs no settings files. It prints a damaged history up to the damage.
func TestMembersCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	f, err := history.Open(path, 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range []string{"n-1", "n-2"} {
		if err := f.Append(history.Event{At: time.Unix(5, 0), Observer: "n-0", Controller: node, From: "alive", To: "failed"}); err != nil {
			t.Fatal(err)
		}
	}
	f.Close()
	out, err := execute(t, "members", path)
	if err != nil || strings.Count(out, "\n") != 2 || !strings.Contains(out, "n-2 alive -> failed") {
		t.Errorf("%q, %v", out, err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data[:len(data)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = execute(t, "members", path)
	var damage *history.DamageError
	if !errors.As(err, &damage) || !strings.Contains(out, "n-1 alive -> failed") || strings.Contains(out, "n-2") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := execute(t, "members", path+"-not-there"); err == nil {
		t.Error("a missing history was read")
	}
}
