package load

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravenport/settings"
)

// The shipped file sets each field to its default.
func TestShippedDetectionFile(t *testing.T) {
	d, err := Detection("../../deploy/failure-detection.properties")
	if err != nil {
		t.Fatal(err)
	}
	if want := settings.DefaultDetection(); *d != want {
		t.Errorf("%+v, not %+v", *d, want)
	}
}

// A setting that is out of bounds or inconsistent with another one is refused with an error
// that names the field. An unknown setting is ignored.
func TestDetectionSettingsAreChecked(t *testing.T) {
	d, err := ParseDetection([]byte("detection.declare.ms = 9000\ndetection.revoke = false\nsomething.else = 1"))
	if err != nil || d.DeclareAfter != 9*time.Second || d.Revoke {
		t.Errorf("%+v, %v", d, err)
	}
	for text, field := range map[string]string{
		"detection.heartbeat.ms = 99":                                        "detection.heartbeat.ms",
		"detection.heartbeat.ms = soon":                                      "detection.heartbeat.ms",
		"detection.heartbeat.ms = 3000":                                      "detection.suspect.min.ms",
		"detection.suspect.max.ms = 2000":                                    "detection.suspect.max.ms",
		"detection.declare.ms = 2500":                                        "detection.declare.ms",
		"detection.suspect.min.ms = 7000":                                    "detection.declare.ms",
		"detection.stall.ms = 10":                                            "detection.stall.ms",
		"detection.probe.timeout.ms = 0":                                     "detection.probe.timeout.ms",
		"detection.revoke = yes":                                             "detection.revoke",
		"detection.history.events = 0":                                       "detection.history.events",
		"detection.history.events = 100001":                                  "detection.history.events",
		"detection.heartbeat.ms = ${detection.heartbeat.ms}":                 "detection",
		"detection.history.path = /nowhere/at/all\ndetection.revoke = maybe": "detection.revoke",
	} {
		_, err := ParseDetection([]byte(text))
		wantFieldError(t, err, field, text)
	}
	path := filepath.Join(t.TempDir(), "file")
	const line = "detection.history.path = /nowhere/at/all"
	if err := os.WriteFile(path, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Detection(path)
	wantFieldError(t, err, "detection.history.path", line)
	_, err = Detection(path + ".not")
	wantFieldError(t, err, path+".not", "no file")
}
