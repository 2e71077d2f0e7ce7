package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"ravenport/logkey"
)

// terminationReasons is a log handler that keeps the reason for which each machine was
// terminated, from the log lines of the owners.
type terminationReasons struct {
	slog.Handler
	mu        sync.Mutex
	byMachine map[string]string
}

// watchTerminationReasons reads the log lines of the controllers from now on. Lines still reach
// the previous log handler.
func watchTerminationReasons(t *testing.T) *terminationReasons {
	t.Helper()
	old := slog.Default()
	reasons := &terminationReasons{Handler: old.Handler(), byMachine: map[string]string{}}
	slog.SetDefault(slog.New(reasons))
	t.Cleanup(func() { slog.SetDefault(old) })
	return reasons
}

// Handle implements slog.Handler.
func (r *terminationReasons) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == "terminating machine" {
		machine, reason := "", ""
		record.Attrs(func(attribute slog.Attr) bool {
			switch attribute.Key {
			case logkey.Machine:
				machine = attribute.Value.String()
			case "reason":
				reason = attribute.Value.String()
			}
			return true
		})
		r.mu.Lock()
		r.byMachine[machine] = reason
		r.mu.Unlock()
	}
	return r.Handler.Handle(ctx, record)
}

// of returns the reason for which a machine was terminated.
func (r *terminationReasons) of(machine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byMachine[machine]
}

// liveTerminationPrefix is the prefix of the event names under which a world counts, by reason,
// terminations of live machines that ran tasks.
const liveTerminationPrefix = "live machines terminated as "

// recordLiveTermination counts the termination of a live machine that ran tasks, by reason.
// The caller holds the lock.
func (w *world) recordLiveTermination(m *simWorker) {
	if w.reasons == nil || m.hung || m.disconnected || m.receivesNothing {
		return
	}
	for _, task := range m.tasks {
		if onMachine(task.state) {
			w.observed[liveTerminationPrefix+w.reasons.of(m.name)]++
			return
		}
	}
}

// logLiveTerminations logs how many live machines that ran tasks were terminated, by reason.
func (w *world) logLiveTerminations(t *testing.T) {
	t.Helper()
	for _, what := range slices.Sorted(maps.Keys(w.observed)) {
		if strings.HasPrefix(what, liveTerminationPrefix) {
			t.Logf("%s: %d", what, w.observed[what])
		}
	}
}
