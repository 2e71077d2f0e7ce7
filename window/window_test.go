package window

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ravenport/internal/testseed"
)

func mustParseTime(text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err)
	}
	return t
}

// Windows open at the local time of their zone, also across midnight and clock changes.
func TestWindowsOpenByTheZonesClocks(t *testing.T) {
	for name, c := range map[string]struct {
		rule, zone    string
		length        time.Duration
		now           string
		opens, closes string
	}{
		"at night, queried by day":     {"FREQ=DAILY;BYHOUR=1", "Africa/Johannesburg", 2 * time.Hour, "2026-12-02T13:00:00Z", "2026-12-02T23:00:00Z", "2026-12-03T01:00:00Z"},
		"over midnight, queried in it": {"FREQ=DAILY;BYHOUR=23;BYMINUTE=30", "Europe/Berlin", 2 * time.Hour, "2026-12-02T23:45:00Z", "2026-12-02T22:30:00Z", "2026-12-03T00:30:00Z"},
		"in the hour that is skipped": {"FREQ=DAILY;BYHOUR=2;BYMINUTE=30", "Europe/Berlin", time.Hour, "2026-03-29T00:00:00Z",
			"2026-03-29T01:30:00Z", "2026-03-29T02:30:00Z"},
		"in the hour that is repeated": {"FREQ=DAILY;BYHOUR=2;BYMINUTE=30", "Europe/Berlin", time.Hour, "2026-10-24T23:00:00Z",
			"2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z"},
		"every second Tuesday": {"FREQ=WEEKLY;INTERVAL=2;BYDAY=TU", "UTC", time.Hour, "2026-12-02T00:00:00Z", "2026-12-08T00:00:00Z", "2026-12-08T01:00:00Z"},
		"on leap days":         {"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29", "UTC", time.Hour, "2026-12-02T00:00:00Z", "2028-02-29T00:00:00Z", "2028-02-29T01:00:00Z"},
	} {
		s, err := Parse(c.rule, c.zone, c.length, mustParseTime(c.now))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if w, ok := s.Next(mustParseTime(c.now)); !ok || !w.Opens.Equal(mustParseTime(c.opens)) || !w.Closes.Equal(mustParseTime(c.closes)) {
			t.Errorf("%s: %s to %s, %v", name, w.Opens.UTC(), w.Closes.UTC(), ok)
		}
	}
}

// Invalid schedules are refused with the reason.
func TestBadWindows(t *testing.T) {
	now := mustParseTime("2026-12-02T13:00:00Z")
	for _, c := range []struct {
		rule, zone string
		length     time.Duration
		want       error
	}{
		{"FREQ=DAILY", "Mars/Olympus", time.Hour, ErrUnknownZone},
		{"FREQ=DAILY", "", time.Hour, ErrUnknownZone},
		{"FREQ=DAILY", "UTC", 0, ErrInvalidLength},
		{"FREQ=DAILY", "UTC", 8 * 24 * time.Hour, ErrInvalidLength},
		{"FREQ=SECONDLY", "UTC", time.Hour, ErrInvalidRule},
		{"FREQ=HOURLY", "UTC", time.Hour, ErrInvalidRule},
		{"every night", "UTC", time.Hour, ErrInvalidRule},
		{"FREQ=DAILY;BYHOUR=25", "UTC", time.Hour, ErrInvalidRule},
		{"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "UTC", time.Hour, ErrNeverOpens},
		{"FREQ=DAILY;UNTIL=20250101T000000Z", "UTC", time.Hour, ErrNeverOpens},
	} {
		if _, err := Parse(c.rule, c.zone, c.length, now); !errors.Is(err, c.want) {
			t.Errorf("%s in %q for %s: %v", c.rule, c.zone, c.length, err)
		}
	}
}

// Next returns a window that is open at the given time or opens later. No other window opens
// between the given time and the opening of the returned window.
func TestNextWindowIsTheNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"Europe/Berlin", "Africa/Johannesburg", "America/New_York", "Australia/Lord_Howe"}).Draw(t, "zone")
		rule := rapid.SampledFrom([]string{"FREQ=DAILY;BYHOUR=2;BYMINUTE=15", "FREQ=WEEKLY;BYDAY=SU;BYHOUR=1", "FREQ=DAILY;BYHOUR=23"}).Draw(t, "rule")
		now := mustParseTime("2026-01-01T00:00:00Z").Add(time.Duration(rapid.IntRange(0, 365*24*60).Draw(t, "minute")) * time.Minute)
		s, err := Parse(rule, zone, time.Duration(rapid.IntRange(1, 600).Draw(t, "minutes"))*time.Minute, now)
		if err != nil {
			t.Fatal(err)
		}
		w, ok := s.Next(now)
		if !ok || !now.Before(w.Closes) {
			t.Fatalf("%v at %s", w, now)
		}
		for between := now; between.Before(w.Opens); between = between.Add(5 * time.Hour) {
			if other, _ := s.Next(between); !other.Opens.Equal(w.Opens) {
				t.Fatalf("%v at %s, %v at %s", w, now, other, between)
			}
		}
	})
}
