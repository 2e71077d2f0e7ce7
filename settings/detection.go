package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/magiconair/properties"

	"ravenport/detector"
)

// Detection holds the settings of failure detection; see
// docs/operators-failure-detection.md. Without a file for it there is none.
type Detection struct {
	Interval     time.Duration // detection.heartbeat.ms
	SuspectMin   time.Duration // detection.suspect.min.ms
	SuspectMax   time.Duration // detection.suspect.max.ms
	DeclareAfter time.Duration // detection.declare.ms
	ProbeTimeout time.Duration // detection.probe.timeout.ms
	StallAfter   time.Duration // detection.stall.ms
	Revoke       bool          // detection.revoke: whether a declared controller is replaced, or only reported
	HistoryPath  string        // detection.history.path; empty: no file
	HistorySize  int           // detection.history.events
}

// durationField is a duration of the file, in milliseconds, with its bounds.
type durationField struct {
	key    string
	to     *time.Duration
	lo, hi time.Duration
}

func defaultDetection() Detection {
	return Detection{
		Interval: time.Second, SuspectMin: 2500 * time.Millisecond, SuspectMax: 8 * time.Second, DeclareAfter: 6 * time.Second,
		ProbeTimeout: time.Second, StallAfter: 5 * time.Second, Revoke: true, HistorySize: 1000,
	}
}

func (d *Detection) durations() []durationField {
	return []durationField{
		{"detection.heartbeat.ms", &d.Interval, 100 * time.Millisecond, 10 * time.Second},
		{"detection.suspect.min.ms", &d.SuspectMin, 200 * time.Millisecond, time.Minute},
		{"detection.suspect.max.ms", &d.SuspectMax, 200 * time.Millisecond, 5 * time.Minute},
		{"detection.declare.ms", &d.DeclareAfter, 500 * time.Millisecond, 10 * time.Minute},
		{"detection.probe.timeout.ms", &d.ProbeTimeout, 50 * time.Millisecond, 10 * time.Second},
		{"detection.stall.ms", &d.StallAfter, time.Second, 10 * time.Minute},
	}
}

// historyMost bounds the events of the history.
const historyMost = 100_000

// LoadDetection reads and checks the file of failure detection.
func LoadDetection(path string) (*Detection, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{path, err.Error()}
	}
	d, err := ParseDetection(text)
	if err != nil {
		return nil, err
	}
	if d.HistoryPath != "" {
		if info, err := os.Stat(filepath.Dir(d.HistoryPath)); err != nil || !info.IsDir() {
			return nil, &FieldError{"detection.history.path", fmt.Sprintf("%q is not in a directory", d.HistoryPath)}
		}
	}
	return d, nil
}

// ParseDetection reads and checks the settings of failure detection. Unknown fields
// are ignored.
func ParseDetection(text []byte) (*Detection, error) {
	p, err := properties.Load(text, properties.UTF8)
	if err != nil {
		return nil, &FieldError{"detection", err.Error()}
	}
	d := defaultDetection()
	for _, f := range d.durations() {
		if err := f.read(p); err != nil {
			return nil, err
		}
	}
	if d.Revoke, err = boolean(p, "detection.revoke", d.Revoke); err != nil {
		return nil, err
	}
	d.HistoryPath = p.GetString("detection.history.path", "")
	if d.HistorySize, err = whole(p, "detection.history.events", d.HistorySize, 1, historyMost); err != nil {
		return nil, err
	}
	return &d, d.check()
}

func (f durationField) read(p *properties.Properties) error {
	lo, hi := int(f.lo.Milliseconds()), int(f.hi.Milliseconds())
	ms, err := whole(p, f.key, int(f.to.Milliseconds()), lo, hi)
	*f.to = time.Duration(ms) * time.Millisecond
	return err
}

// check looks at how the fields fit together.
func (d *Detection) check() error {
	switch {
	case d.SuspectMin <= d.Interval:
		return &FieldError{"detection.suspect.min.ms", "must be larger than detection.heartbeat.ms"}
	case d.SuspectMax < d.SuspectMin:
		return &FieldError{"detection.suspect.max.ms", "must not be smaller than detection.suspect.min.ms"}
	case d.DeclareAfter <= d.SuspectMin:
		return &FieldError{"detection.declare.ms", "must be larger than detection.suspect.min.ms"}
	}
	return nil
}

func whole(p *properties.Properties, key string, otherwise, lo, hi int) (int, error) {
	text, ok := p.Get(key)
	if !ok {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lo || n > hi {
		return otherwise, &FieldError{key, fmt.Sprintf("must be a whole number from %d to %d", lo, hi)}
	}
	return n, nil
}

func boolean(p *properties.Properties, key string, otherwise bool) (bool, error) {
	switch text, ok := p.Get(key); {
	case !ok:
		return otherwise, nil
	case text == "true" || text == "false":
		return text == "true", nil
	}
	return otherwise, &FieldError{key, "must be true or false"}
}

// DetectorConfig is the configuration of this controller's failure detector.
func (s *Settings) DetectorConfig() detector.Config {
	d := s.Detection
	cfg := detector.Config{Self: s.Controller, Interval: d.Interval, SuspectMin: d.SuspectMin, SuspectMax: d.SuspectMax, DeclareAfter: d.DeclareAfter, ProbeTimeout: d.ProbeTimeout}
	for _, n := range s.AllControllers() {
		cfg.Members = append(cfg.Members, n.Controller)
	}
	return cfg
}
