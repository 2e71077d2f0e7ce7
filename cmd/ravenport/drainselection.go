package main

import (
	"time"

	"github.com/spf13/cobra"

	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings"
)

// selectionFlags holds the flags that select machines. A machine must match all flags that
// are set.
type selectionFlags struct {
	machines []string
	zones    []string
	types    []string
	spot     bool
	onDemand bool
	// rentedBefore is a time (RFC 3339) or an age (a duration).
	rentedBefore string
	all          bool
}

// addFlags adds the flags to a command.
func (f *selectionFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringSliceVar(&f.machines, "machine", nil, "names of machines")
	flags.StringSliceVar(&f.zones, "zone", nil, "all machines of these zones")
	flags.StringSliceVar(&f.types, "type", nil, "all machines of these types")
	flags.BoolVar(&f.spot, "spot", false, "spot instances only")
	flags.BoolVar(&f.onDemand, "ordinary", false, "on-demand instances only")
	flags.StringVar(&f.rentedBefore, "rented-before", "", "machines created before a time (RFC 3339), or longer ago than a duration (72h)")
	flags.BoolVar(&f.all, "all", false, "all machines, if no other selection flag is given")
}

// request returns the request that carries the selection.
func (f *selectionFlags) request(op peer.DrainOp, now time.Time) (peer.DrainRequest, error) {
	request := peer.DrainRequest{
		Op:        op,
		Selection: records.Selection{Machines: f.machines, Zones: f.zones, Types: f.types},
		MatchAll:  f.all,
	}
	if f.spot && f.onDemand {
		return peer.DrainRequest{}, settings.Invalid("spot", "cannot be given together with ordinary")
	}
	if f.spot || f.onDemand {
		request.Selection.Spot = &f.spot
	}
	if f.rentedBefore == "" {
		return request, nil
	}
	age, err := parseAge(f.rentedBefore, now)
	if err != nil {
		return peer.DrainRequest{}, err
	}
	request.MinAgeS = age.Seconds()
	return request, nil
}

// parseAge parses an age: a duration, or a time, whose age at now it returns.
func parseAge(text string, now time.Time) (time.Duration, error) {
	age, err := time.ParseDuration(text)
	if err != nil {
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return 0, settings.Invalid("rented-before", "%q is neither a time nor a duration", text)
		}
		age = now.Sub(at)
	}
	if age <= 0 {
		return 0, settings.Invalid("rented-before", "must be in the past")
	}
	return age, nil
}
