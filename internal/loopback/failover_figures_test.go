package loopback

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// failover is what was measured of one.
type failover struct {
	moved                                       bool
	suspected, declared, acquired, firstCommand time.Duration // since the failure began; 0: it was not seen
	falseSuspicions, falseDeclarations          int           // of controllers that did not fail
}

// stateChangeLine is a line of a controller's log about another one's state.
var stateChangeLine = regexp.MustCompile(`^time=(\S+) .*msg="controller's state changed" controller=(\S+) from=\S+ to=(\S+) evidence=(\[.*?\]|"\[.*?\]")`)

// readStateChanges reads from the controllers' logs when others noticed a failure.
func (f *fleet) readStateChanges(began time.Time, failed string, harmless bool) failover {
	var x failover
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err != nil || c.name == failed {
			continue // a failed one's own view says nothing of others
		}
		for line := range strings.Lines(string(text)) {
			m := stateChangeLine.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil || at.Before(began) {
				continue
			}
			x.addStateChange(m[2] == failed && !harmless, m[3], at.Sub(began))
		}
	}
	return x
}

func (x *failover) addStateChange(hasFailed bool, to string, after time.Duration) {
	first := func(d *time.Duration) {
		if *d == 0 || after < *d {
			*d = after
		}
	}
	switch {
	case to == "suspect" && hasFailed:
		first(&x.suspected)
	case to == "failed" && hasFailed:
		first(&x.declared)
	case to == "suspect":
		x.falseSuspicions++
	case to == "failed":
		x.falseDeclarations++
	}
}

// logSummary prints a kind's figures: median, 95th percentile and maximum.
func logSummary(t *testing.T, kind failure, seen []failover) {
	t.Helper()
	column := func(of func(failover) time.Duration) string {
		var all []time.Duration
		for _, x := range seen {
			if d := of(x); d > 0 {
				all = append(all, d)
			}
		}
		if len(all) == 0 {
			return "-"
		}
		slices.Sort(all)
		at := func(share float64) float64 { return all[min(len(all)-1, int(share*float64(len(all))))].Seconds() }
		return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", at(0.5), at(0.95), all[len(all)-1].Seconds(), len(all))
	}
	moved, suspicions, declared := 0, 0, 0
	for _, x := range seen {
		if x.moved {
			moved++
		}
		suspicions += x.falseSuspicions
		declared += x.falseDeclarations
	}
	t.Logf("| %s | %d of %d | %s | %s | %s | %s | %d | %d |", kind.name, moved, len(seen),
		column(func(x failover) time.Duration { return x.suspected }), column(func(x failover) time.Duration { return x.declared }),
		column(func(x failover) time.Duration { return x.acquired }), column(func(x failover) time.Duration { return x.firstCommand }), suspicions, declared)
}
