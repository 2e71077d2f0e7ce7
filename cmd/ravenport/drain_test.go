package main

import (
	"errors"
	"testing"
	"time"

	"ravenport/peer"
	"ravenport/settings"
)

// An invalid flag or argument is refused, with an error that names it, before any controller
// is called.
func TestInvalidDrainFlags(t *testing.T) {
	for _, c := range []struct {
		field string
		args  []string
	}{
		{"controller", []string{"status"}},
		{"controller", []string{"status", "--controller", "10.0.0.1:8081", "--config", "settings.toml"}},
		{"not-there.toml", []string{"status", "--config", "not-there.toml"}},
		{"drain", []string{"pause", "0"}},
		{"drain", []string{"cancel", "first"}},
		{"spot", []string{"plan", "--spot", "--ordinary"}},
		{"rented-before", []string{"plan", "--rented-before", "yesterday"}},
		{"rented-before", []string{"start", "--rented-before", "-1h"}},
		{"rented-before", []string{"start", "--rented-before", "9999-01-01T00:00:00Z"}},
	} {
		_, err := execute(t, append([]string{"drain"}, c.args...)...)
		var invalid *settings.FieldError
		if !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%q: %v, wanted the field %s", c.args, err, c.field)
		}
	}
}

// The minimum age of machines is given as a duration, or as a time from which the age is
// computed.
func TestDrainSelection(t *testing.T) {
	now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	for _, rentedBefore := range []string{"72h", "2026-05-01T12:00:00Z"} {
		flags := selectionFlags{zones: []string{"a"}, onDemand: true, rentedBefore: rentedBefore}
		request, err := flags.request(peer.OpPlan, now)
		if err != nil || request.Op != peer.OpPlan || request.MinAgeS != 72*3600 {
			t.Errorf("%s: %+v, %v", rentedBefore, request, err)
		}
		if spot := request.Selection.Spot; spot == nil || *spot || request.MatchAll {
			t.Errorf("%s: the selection is not of on-demand instances: %+v", rentedBefore, request)
		}
	}
}
