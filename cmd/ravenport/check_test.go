package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ravenport/settings"
)

// An invalid failure detection file is refused with an error that names the field.
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
		out, err := execute(t, "check", "--config", config, "--failure-detection", detection)
		var invalid *settings.FieldError
		if errors.As(err, &invalid) {
			out = err.Error()
		}
		if !strings.Contains(out, wanted) || strings.Contains(out, "\n") != (err == nil) {
			t.Errorf("%q: %q, %v", content, out, err)
		}
	}
	if out, err := execute(t, "check", "--config", config); err != nil || !strings.Contains(out, "detection off") {
		t.Errorf("%q, %v", out, err)
	}
}
