// Package window computes recurring maintenance windows. A recurrence rule (RFC 5545) in a
// time zone determines when windows open, and a length determines when they close. The zone
// data is compiled into the binary, so that all controllers evaluate a rule alike.
package window

import (
	"errors"
	"fmt"
	"time"
	_ "time/tzdata" // for machines without zone data

	"github.com/teambition/rrule-go"
)

// MaxLength is the maximum length of a window. With a length of a week, a window that opens
// daily is always open.
const MaxLength = 7 * 24 * time.Hour

// maxTimeToOpen is the time within which a schedule must open at least once. It allows
// rules for leap days, which can be eight years apart.
const maxTimeToOpen = 9 * 366 * 24 * time.Hour

// Errors of Parse. All but ErrInvalidLength are wrapped in an error that begins with the
// invalid text.
var (
	ErrInvalidRule   = errors.New("is no recurrence rule of days, weeks, months or years")
	ErrUnknownZone   = errors.New("is no time zone")
	ErrInvalidLength = errors.New("must be from one second to a week")
	ErrNeverOpens    = errors.New("never opens")
)

// Window is one interval in which a maintenance window is open. Opens is inclusive and
// Closes is exclusive.
type Window struct{ Opens, Closes time.Time }

// IsOpen reports whether the window is open at a time.
func (w Window) IsOpen(at time.Time) bool { return !at.Before(w.Opens) && at.Before(w.Closes) }

// Schedule is a recurring window. It is immutable and safe for concurrent use.
type Schedule struct {
	rule   *rrule.RRule
	length time.Duration
	text   string
}

// Parse returns the schedule of a rule whose times of day are local times of the zone. If
// clocks are set forward past the opening time, the window opens later by the skipped time.
// If clocks are set back and the opening time occurs twice, the window opens at the first
// occurrence. The length is elapsed time and does not depend on clock changes. The schedule
// must open at least once within nine years of now.
func Parse(rule, zone string, length time.Duration, now time.Time) (*Schedule, error) {
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" {
		return nil, fmt.Errorf("%q %w", zone, ErrUnknownZone)
	}
	if length < time.Second || length > MaxLength {
		return nil, ErrInvalidLength
	}
	parsedRule, err := parseRule(rule, location)
	if err != nil {
		return nil, err
	}
	s := &Schedule{rule: parsedRule, length: length, text: rule + " in " + zone}
	if next, ok := s.Next(now); !ok || next.Opens.Sub(now) > maxTimeToOpen {
		return nil, fmt.Errorf("%q %w", rule, ErrNeverOpens)
	}
	return s, nil
}

// parseRule parses a recurrence rule. It refuses rules that recur more often than daily.
func parseRule(rule string, location *time.Location) (*rrule.RRule, error) {
	options, err := rrule.StrToROptionInLocation(rule, location)
	if err != nil || options.Freq > rrule.DAILY { // greater values are shorter intervals
		return nil, fmt.Errorf("%q %w", rule, ErrInvalidRule)
	}
	if options.Dtstart.IsZero() {
		options.Dtstart = defaultStart(location)
	}
	parsed, err := rrule.NewRRule(*options)
	if err != nil {
		return nil, fmt.Errorf("%q %w: %w", rule, ErrInvalidRule, err)
	}
	return parsed, nil
}

// defaultStart returns the start from which intervals are counted if a rule has no DTSTART:
// 1 January 1996, which was a Monday.
func defaultStart(location *time.Location) time.Time {
	return time.Date(1996, time.January, 1, 0, 0, 0, 0, location)
}

// Next returns the window that is open at a time, or the next window to open. ok is false if
// no window opens after that time. If several windows are open, Next returns the one that
// opened last.
func (s *Schedule) Next(at time.Time) (w Window, ok bool) {
	if last := s.rule.Before(at, true); !last.IsZero() {
		w = s.windowAt(last)
		if w.IsOpen(at) {
			return w, true
		}
	}
	for next := s.rule.After(at, false); !next.IsZero(); next = s.rule.After(next, false) {
		w = s.windowAt(next)
		if at.Before(w.Closes) {
			return w, true
		}
	}
	return Window{}, false
}

// clockSetBacks lists the amounts by which zones in the zone data set their clocks back.
var clockSetBacks = []time.Duration{time.Hour, 30 * time.Minute}

// windowAt returns the window of an occurrence of the rule. If the local time of the
// occurrence occurs twice because clocks are set back, the window opens at the first.
func (s *Schedule) windowAt(opens time.Time) Window {
	for _, setBack := range clockSetBacks {
		first := opens.Add(-setBack)
		if first.Format(time.DateTime) == opens.Format(time.DateTime) {
			opens = first
			break
		}
	}
	return Window{opens, opens.Add(s.length)}
}

// String returns the rule and the zone.
func (s *Schedule) String() string { return s.text }
