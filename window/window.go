// Package window knows recurring maintenance windows: a recurrence rule (RFC 5545) in a
// time zone says when one opens, and a length when it closes. Zone data is part of the
// program, so every controller reads a rule alike.
package window

import (
	"errors"
	"fmt"
	"time"
	_ "time/tzdata" // the machine may have none

	"github.com/teambition/rrule-go"
)

// MaxLength is the longest that a window may be open: a week, which a rule for every day
// turns into always.
const MaxLength = 7 * 24 * time.Hour

// maxTimeToOpen is how far ahead a window must open at least once: a leap day comes every eight
// years at the latest.
const maxTimeToOpen = 9 * 366 * 24 * time.Hour

// Errors of a schedule.
var (
	ErrInvalidRule   = errors.New("is no recurrence rule of days, weeks, months or years")
	ErrUnknownZone   = errors.New("is no time zone")
	ErrInvalidLength = errors.New("must be from one second to a week")
	ErrNeverOpens    = errors.New("never opens")
)

// Window is one time in which a window is open.
type Window struct{ Opens, Closes time.Time }

// IsOpen says whether it is open at a time.
func (w Window) IsOpen(at time.Time) bool { return !at.Before(w.Opens) && at.Before(w.Closes) }

// Schedule is a recurring window. It does not change and may be shared.
type Schedule struct {
	rule   *rrule.RRule
	length time.Duration
	text   string
}

// Parse makes a schedule. Times of day in the rule are those of the zone. Where a clock
// is set forward over the opening, the window opens as much later; where it is set back,
// at the first of the two. A window is as long as its length by the steady clock,
// whatever is done to the clocks meanwhile.
func Parse(rule, zone string, length time.Duration, now time.Time) (*Schedule, error) {
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" {
		return nil, fmt.Errorf("%q %w", zone, ErrUnknownZone)
	}
	if length < time.Second || length > MaxLength {
		return nil, ErrInvalidLength
	}
	options, err := rrule.StrToROptionInLocation(rule, location)
	if err != nil || options.Freq > rrule.DAILY { // those after it come more often
		return nil, fmt.Errorf("%q %w", rule, ErrInvalidRule)
	}
	if options.Dtstart.IsZero() {
		options.Dtstart = defaultStart(location)
	}
	parsed, err := rrule.NewRRule(*options)
	if err != nil {
		return nil, fmt.Errorf("%q %w: %w", rule, ErrInvalidRule, err)
	}
	s := &Schedule{parsed, length, rule + " in " + zone}
	if next, ok := s.Next(now); !ok || next.Opens.Sub(now) > maxTimeToOpen {
		return nil, fmt.Errorf("%q %w", rule, ErrNeverOpens)
	}
	return s, nil
}

// defaultStart is the day from which intervals are counted where a rule names none: the first
// day of a year that began on a Monday.
func defaultStart(location *time.Location) time.Time {
	return time.Date(1996, time.January, 1, 0, 0, 0, 0, location)
}

// Next is the window that is open at a time or, if none is, the next one; ok is false if
// none opens any more. Windows that overlap are one after the other here.
func (s *Schedule) Next(at time.Time) (w Window, ok bool) {
	if last := s.rule.Before(at, true); !last.IsZero() {
		if w = s.windowAt(last); w.IsOpen(at) {
			return w, true
		}
	}
	for next := s.rule.After(at, false); !next.IsZero(); next = s.rule.After(next, false) {
		if w = s.windowAt(next); at.Before(w.Closes) {
			return w, true
		}
	}
	return Window{}, false
}

// clockSetBacks are by how much clocks are set back somewhere in the zone data.
var clockSetBacks = []time.Duration{time.Hour, 30 * time.Minute}

// windowAt is the window of an occurrence: of two equal times of day the first.
func (s *Schedule) windowAt(opens time.Time) Window {
	for _, change := range clockSetBacks {
		if first := opens.Add(-change); first.Format(time.DateTime) == opens.Format(time.DateTime) {
			opens = first
			break
		}
	}
	return Window{opens, opens.Add(s.length)}
}

func (s *Schedule) String() string { return s.text }
