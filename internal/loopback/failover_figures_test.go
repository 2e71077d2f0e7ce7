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

// failover has the figures of one failover. Durations count from the injection of the
// failure. A duration of 0 means that the event was not observed.
type failover struct {
	moved        bool          // the shard's term has changed
	suspected    time.Duration // until another controller suspected the failed one
	declared     time.Duration // until another controller declared it failed
	acquired     time.Duration // until another controller acquired the shard's term
	firstCommand time.Duration // until a worker executed the new owner's first command
	// Number of times that a controller that had not failed was suspected or declared
	// failed.
	falseSuspicions   int
	falseDeclarations int
}

// stateChangeLine matches a line of a controller's log on a change of another controller's
// state.
var stateChangeLine = regexp.MustCompile(`^time=(\S+) .*msg="controller's state changed" controller=(\S+) from=\S+ to=(\S+) evidence=(\[.*?\]|"\[.*?\]")`)

// readStateChanges reads from the controllers' logs when other controllers suspected the
// failed controller and declared it failed. If the failure is harmless, every suspicion and
// declaration counts as false.
func (f *fleet) readStateChanges(startedAt time.Time, failed string, harmless bool) failover {
	var figures failover
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err != nil || c.name == failed {
			continue // the failed controller's view of the others does not count
		}
		for line := range strings.Lines(string(text)) {
			fields := stateChangeLine.FindStringSubmatch(line)
			if fields == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, fields[1])
			if err != nil || at.Before(startedAt) {
				continue
			}
			hasFailed := fields[2] == failed && !harmless
			figures.addStateChange(hasFailed, fields[3], at.Sub(startedAt))
		}
	}
	return figures
}

// addStateChange adds a change of a controller's state to the figures. hasFailed says
// whether that controller has failed.
func (x *failover) addStateChange(hasFailed bool, state string, after time.Duration) {
	switch {
	case state == "suspect" && hasFailed:
		setEarliest(&x.suspected, after)
	case state == "failed" && hasFailed:
		setEarliest(&x.declared, after)
	case state == "suspect":
		x.falseSuspicions++
	case state == "failed":
		x.falseDeclarations++
	}
}

// setEarliest sets *earliest to d if *earliest is 0 or later than d.
func setEarliest(earliest *time.Duration, d time.Duration) {
	if *earliest == 0 || d < *earliest {
		*earliest = d
	}
}

// logSummary logs the figures of one kind of failure as a table row.
func logSummary(t *testing.T, failure failure, failovers []failover) {
	t.Helper()
	var suspected, declared, acquired, firstCommand []time.Duration
	moved, falseSuspicions, falseDeclarations := 0, 0, 0
	for _, x := range failovers {
		suspected = append(suspected, x.suspected)
		declared = append(declared, x.declared)
		acquired = append(acquired, x.acquired)
		firstCommand = append(firstCommand, x.firstCommand)
		if x.moved {
			moved++
		}
		falseSuspicions += x.falseSuspicions
		falseDeclarations += x.falseDeclarations
	}
	t.Logf("| %s | %d of %d | %s | %s | %s | %s | %d | %d |", failure.name, moved, len(failovers),
		summarize(suspected), summarize(declared), summarize(acquired), summarize(firstCommand), falseSuspicions, falseDeclarations)
}

// summarize returns the median, the 95th percentile and the maximum (s) of the durations
// above 0, and the number of these durations.
func summarize(durations []time.Duration) string {
	measured := slices.DeleteFunc(durations, func(d time.Duration) bool { return d <= 0 })
	if len(measured) == 0 {
		return "-"
	}
	slices.Sort(measured)
	last := len(measured) - 1
	percentile := func(share float64) float64 { return measured[min(last, int(share*float64(len(measured))))].Seconds() }
	return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", percentile(0.5), percentile(0.95), measured[last].Seconds(), len(measured))
}
