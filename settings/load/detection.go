package load

import (
	"os"
	"path/filepath"
	"time"

	"ravenport/settings"
)

// historySizeBounds bounds the number of events to be kept in the history file.
var historySizeBounds = intBounds{1, 100_000}

// Detection reads and checks the failure detection file. The directory of the history file
// must exist.
func Detection(path string) (*settings.Detection, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	d, err := ParseDetection(text)
	if err != nil {
		return nil, err
	}
	if d.HistoryPath != "" && !isDirectory(filepath.Dir(d.HistoryPath)) {
		return nil, settings.Invalid("detection.history.path", "%q is not in a directory", d.HistoryPath)
	}
	return d, nil
}

// ParseDetection parses and checks the text of the failure detection file.
func ParseDetection(text []byte) (*settings.Detection, error) {
	p, err := parseProperties("detection", text)
	if err != nil {
		return nil, err
	}
	d := settings.DefaultDetection()
	if err := readDurations(p, detectionDurations(&d)); err != nil {
		return nil, err
	}
	if d.Revoke, err = readBool(p, "detection.revoke", d.Revoke); err != nil {
		return nil, err
	}
	d.HistoryPath = p.GetString("detection.history.path", "")
	if d.HistorySize, err = readInt(p, "detection.history.events", d.HistorySize, historySizeBounds); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	return &d, nil
}

func detectionDurations(d *settings.Detection) []durationSetting {
	return []durationSetting{
		{"detection.heartbeat.ms", &d.HeartbeatInterval, 100 * time.Millisecond, 10 * time.Second},
		{"detection.suspect.min.ms", &d.SuspectMin, 200 * time.Millisecond, time.Minute},
		{"detection.suspect.max.ms", &d.SuspectMax, 200 * time.Millisecond, 5 * time.Minute},
		{"detection.declare.ms", &d.DeclareAfter, 500 * time.Millisecond, 10 * time.Minute},
		{"detection.probe.timeout.ms", &d.ProbeTimeout, 50 * time.Millisecond, 10 * time.Second},
		{"detection.stall.ms", &d.StallTimeout, time.Second, 10 * time.Minute},
	}
}

func isDirectory(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}
