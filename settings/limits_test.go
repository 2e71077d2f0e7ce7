package settings

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
)

// All sockets together stay within the machine's limit for any number of shards,
// and a fleet half as large again as any seen is served by one controller.
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

// A controller keeps as many processors busy as it has a share of, and no share
// is none at all.
func TestProcessorCountRoundsUp(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.072: 1, 0.5: 1, 1: 1, 1.5: 2, 8: 8} {
		var s Settings
		s.Deployment.Limits.CPU = share
		if got := s.ProcessorCount(); got != want {
			t.Errorf("%g of a processor: %d, wanted %d", share, got, want)
		}
	}
}

// The smaller the machine, the longer it leaves a second shard to that one's own
// controller, within bounds; one whose share is not known does not wait.
func TestSecondShardDelayDependsOnCPU(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 0, 8: 50 * time.Millisecond, 1: 400 * time.Millisecond, 0.1: 4 * time.Second, 0.01: constants.MaxSecondShardDelay} {
		s.Deployment.Limits.CPU = share
		if got := s.SecondShardDelay(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}

// A round may have the same processor time on a part of a processor, within bounds.
func TestRoundBudgetDependsOnCPU(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 5 * time.Millisecond, 4: 5 * time.Millisecond, 1: 5 * time.Millisecond, 0.5: 10 * time.Millisecond, 0.01: constants.MaxRoundBudget} {
		s.Deployment.Limits.CPU = share
		if got := s.RoundBudget(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}
