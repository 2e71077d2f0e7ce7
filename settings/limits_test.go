package settings

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
)

// The sockets of the server and of all shards' commands stay within the machine's limit for
// any number of shards. One controller has enough server sockets for 2600 workers, 1.5 times
// the largest observed fleet.
func TestSocketLimitsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		s.Deployment.Limits.MaxConnections = rapid.IntRange(200, 20000).Draw(t, "limit")
		s.Deployment.Zones = make([]string, rapid.IntRange(1, 9).Draw(t, "zones"))
		limits := s.SocketLimits()
		server, commands := limits.Server, limits.DirectCommands
		if server < s.Deployment.Limits.MaxConnections/2 || commands < 1 {
			t.Fatalf("server %d, commands %d", server, commands)
		}
		total := server + commands*len(s.Deployment.Zones)
		if commands > constants.MinConcurrentCommands && total > s.Deployment.Limits.MaxConnections-constants.NonCommandSockets {
			t.Fatalf("server %d and %d commands for each of %d shards: more than %d", server, commands, len(s.Deployment.Zones), s.Deployment.Limits.MaxConnections)
		}
	})
	s := Settings{}
	s.Deployment.Limits.MaxConnections, s.Deployment.Zones = 3130, []string{"a", "b"}
	if server := s.SocketLimits().Server; server < 2600 {
		t.Fatalf("2600 workers do not fit the server's %d sockets", server)
	}
}

// The CPU share is rounded up to whole processors. The count is 0 if the share is unknown.
func TestProcessorCountRoundsUp(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.072: 1, 0.5: 1, 1: 1, 1.5: 2, 8: 8} {
		var s Settings
		s.Deployment.Limits.CPU = share
		if got := s.ProcessorCount(); got != want {
			t.Errorf("%g of a processor: %d, wanted %d", share, got, want)
		}
	}
}

// The smaller the machine's CPU share, the longer a controller waits before it acquires a
// second shard, so that the shard's own controller can acquire it first. The wait has an
// upper bound. If the share is unknown, the controller does not wait.
func TestSecondShardDelayDependsOnCPU(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 0, 8: 50 * time.Millisecond, 1: 400 * time.Millisecond, 0.1: 4 * time.Second, 0.01: constants.MaxSecondShardDelay} {
		s.Deployment.Limits.CPU = share
		if got := s.SecondShardDelay(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}

// A round gets the same CPU time on a part of a processor as on a whole processor, up to a
// bound on its duration.
func TestRoundBudgetDependsOnCPU(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 5 * time.Millisecond, 4: 5 * time.Millisecond, 1: 5 * time.Millisecond, 0.5: 10 * time.Millisecond, 0.01: constants.MaxRoundBudget} {
		s.Deployment.Limits.CPU = share
		if got := s.RoundBudget(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}
