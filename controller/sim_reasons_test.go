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

// terminationReasons keeps why machines were terminated, as the owners' logs say.
type terminationReasons struct {
	slog.Handler
	mu        sync.Mutex
	byMachine map[string]string
}

// watchTerminationReasons reads the logs of the controllers from here on, beside whoever
// else does.
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

// of returns why a machine was terminated.
func (r *terminationReasons) of(machine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byMachine[machine]
}

// liveTerminationPrefix begins the names under which a world counts terminations of machines
// that ran tasks and were alive, by reason.
const liveTerminationPrefix = "live machines terminated as "

// recordLiveTermination counts the termination of a machine that ran tasks and was alive,
// with its reason. The caller holds the lock.
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
