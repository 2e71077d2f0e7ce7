// Package window computes recurring maintenance windows. A recurrence rule (RFC 5545) in a
// time zone says when a window opens, and a length when it closes. The zone data is compiled
// in, so that all controllers evaluate a rule alike.
package window

import (
	"errors"
	"fmt"
	"time"
	_ "time/tzdata" // the machine may have no zone data

	"github.com/teambition/rrule-go"
)

// MaxLength is the maximum length of a window: a week, with which a rule for every day
// means always.
const MaxLength = 7 * 24 * time.Hour

// maxTimeToOpen is how far ahead a window must open at least once: a leap day comes every
// eight years at the latest.
const maxTimeToOpen = 9 * 366 * 24 * time.Hour

// Errors of Parse. All but ErrInvalidLength are wrapped, after the text that they are about.
var (
	ErrInvalidRule   = errors.New("is no recurrence rule of days, weeks, months or years")
	ErrUnknownZone   = errors.New("is no time zone")
	ErrInvalidLength = errors.New("must be from one second to a week")
	ErrNeverOpens    = errors.New("never opens")
)

// Window is one interval in which a maintenance window is open. Closes is exclusive.
type Window struct{ Opens, Closes time.Time }

// IsOpen reports whether the window is open at a time.
func (w Window) IsOpen(at time.Time) bool { return !at.Before(w.Opens) && at.Before(w.Closes) }

// Schedule is a recurring window. It is immutable and safe for concurrent use.
type Schedule struct {
	rule   *rrule.RRule
	length time.Duration
	text   string
}

// Parse returns the schedule of a rule whose times of day are those of the zone. Where
// clocks are set forward over the opening time, the window opens that much later; where
// they are set back and the opening time occurs twice, it opens at the first. The length is
// elapsed time, whatever is done to the clocks meanwhile. The schedule must open at least
// once in the nine years from now.
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

// parseRule parses a recurrence rule. Those that recur more often than daily are refused.
func parseRule(rule string, location *time.Location) (*rrule.RRule, error) {
	options, err := rrule.StrToROptionInLocation(rule, location)
	if err != nil || options.Freq > rrule.DAILY { // frequencies are in falling order of length
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

// defaultStart is the day from which intervals are counted where a rule names none: the
// first day of a year that began on a Monday.
func defaultStart(location *time.Location) time.Time {
	return time.Date(1996, time.January, 1, 0, 0, 0, 0, location)
}

// Next returns the window that is open at a time or, if none is, the next one; ok is false
// if none opens any more. If windows overlap, Next returns the one that opened last.
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

// clockSetBacks are by how much clocks are set back somewhere in the zone data.
var clockSetBacks = []time.Duration{time.Hour, 30 * time.Minute}

// windowAt is the window of an occurrence of the rule. If its time of day occurs twice, the
// window opens at the first.
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
