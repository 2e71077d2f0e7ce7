package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ravenport/history"
	"ravenport/settings"
)

// runLine carries out a command line and returns what it printed.
func runLine(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// The history is printed without any settings, up to its damage if there is one.
func TestMembersCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	f, err := history.Open(path, 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range []string{"n-1", "n-2"} {
		if err := f.Append(history.Event{At: time.Unix(5, 0), Observer: "n-0", Node: node, From: "alive", To: "failed"}); err != nil {
			t.Fatal(err)
		}
	}
	f.Close()
	out, err := runLine(t, "members", path)
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
	out, err = runLine(t, "members", path)
	var damage *history.Damage
	if !errors.As(err, &damage) || !strings.Contains(out, "n-1 alive -> failed") || strings.Contains(out, "n-2") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := runLine(t, "members", path+"-not-there"); err == nil {
		t.Error("a missing history was read")
	}
}

// A bad file of failure detection is refused with the field's name.
func TestDetectionFileIsChecked(t *testing.T) {
	dir := t.TempDir()
	config, detection := filepath.Join(dir, "settings.toml"), filepath.Join(dir, "detection.properties")
	text := `node = "n-0"
domain = "a"
bind = "127.0.0.1:1"
back = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
zones = ["a"]
[facts.workers]
report_s = 3.0
lease_s = 26.0
cancel_s = 60.0
gang_wait_s = 30.0
gang_peer_s = 8.0
[facts.state]
rps = 200.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 10.0
list_lag_s = 5.0
`
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config, text)
	for content, wanted := range map[string]string{"": "detection on", "detection.declare.ms = 700": "detection.declare.ms"} {
		write(detection, content)
		out, err := runLine(t, "check", "--config", config, "--failure-detection", detection)
		var bad *settings.FieldError
		if errors.As(err, &bad) {
			out = err.Error()
		}
		if !strings.Contains(out, wanted) || strings.Contains(out, "\n") != (err == nil) {
			t.Errorf("%q: %q, %v", content, out, err)
		}
	}
	if out, err := runLine(t, "check", "--config", config); err != nil || !strings.Contains(out, "detection off") {
		t.Errorf("%q, %v", out, err)
	}
}
