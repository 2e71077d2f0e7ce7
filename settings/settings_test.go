package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravenport/constants"
	_ "ravenport/internal/testseed"
)

const good = `
node = "n-0"
domain = "a"
bind = "10.0.0.1:8080"
back = "10.0.0.1:8081"
surprise = 7
[[siblings]]
node = "n-1"
domain = "b"
peer_addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
size = 2
zones = ["a", "b"]
[[facts.teams]]
name = "t"
cpus = 8.0
cpus_max = 16.0
[facts.workers]
report_s = 3.0
lease_s = 26.0
cancel_s = 56.0
gang_wait_s = 30.0
gang_peer_s = 8.0
[facts.state]
rps = 200.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 10.0
list_lag_s = 8.0
`

func TestGoodSettings(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.AllControllers()) != 2 || s.Team("t") == nil || s.Team("x") != nil {
		t.Fatalf("%+v", s)
	}
}

// A wrong setting is refused by its name.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`node = "n-0"`, ``, "node"},
		{`domain = "a"`, `domain = "z"`, "domain"},
		{`"10.0.0.1:8080"`, `"host:8080"`, "bind"},
		{`"10.0.0.2:8081"`, `"nowhere"`, "siblings.peer_addr"},
		{`node = "n-1"`, `node = "n-0"`, "siblings.node"},
		{`lease_s = 26.0`, `lease_s = 0.0`, "facts.workers.lease_s"},
		{`write_rps = 20.0`, `write_rps = -1.0`, "facts.state.write_rps"},
		{`zones = ["a", "b"]`, `zones = ["a", "b/c"]`, "facts.zones"},
		{`rps = 10.0`, `rps = "many"`, "facts.cloud.rps"},
		{`cpus = 8.0`, `cpus = -8.0`, "facts.teams"},
		{`gang_wait_s = 30.0`, ``, "facts.workers.gang_wait_s"},
		{`gang_peer_s = 8.0`, `gang_peer_s = 0.0`, "facts.workers.gang_peer_s"},
		{`[facts.cloud]`, "[facts.state.next]\nvalue_kb = 0.0\n[facts.cloud]", "facts.state.next.value_kb"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = 0\n[facts.cloud]", "facts.state.next.txn_ops"},
		{`[facts.cloud]`, "[facts.state.next]\nwrite_rps = -1.0\n[facts.cloud]", "facts.state.next.write_rps"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if text == good {
			t.Fatalf("%q is not in the text", c.from)
		}
		_, err := Parse([]byte(text))
		var bad *FieldError
		if !errors.As(err, &bad) || bad.Field != c.field {
			t.Errorf("%s: %v, wanted the field %s", c.to, err, c.field)
		}
	}
}

// Cancellation: an owner that no longer hears of one must have fallen silent,
// and its workers' leases run out, before cancel_s is over.
func TestAuthorityLeavesRoomForCancellation(t *testing.T) {
	for _, cancel := range []string{"56.0", "30.0", "20.0"} {
		s, err := Parse([]byte(strings.Replace(good, "cancel_s = 56.0", "cancel_s = "+cancel, 1)))
		if err != nil {
			t.Fatal(err)
		}
		d, short := s.Authority()
		if d <= 0 {
			t.Errorf("cancel_s %s: authority %s", cancel, d)
		}
		if end := d + s.LeaseEnd(); !short && end >= Seconds(s.Deployment.Workers.CancelS) {
			t.Errorf("cancel_s %s: a task may run for %s", cancel, end)
		}
		if !short && cancel == "20.0" {
			t.Error("no warning although cancel_s is shorter than the lease")
		}
	}
}

func TestOperatorsSettings(t *testing.T) {
	o, err := ParseOperator([]byte("# ours\nmembership.lease.ms = 6000\nrent.spot: false\nrent.idle.spot.s=12.5\n"))
	if err != nil || o.LeaseTTL != 6*time.Second || o.UseSpot || o.IdleSpot != 12500*time.Millisecond {
		t.Fatalf("%+v, %v", o, err)
	}
	for _, bad := range []string{"membership.lease.ms = soon", "rent.spot = maybe", "rent.idle.spot.s = -1"} {
		var e *FieldError
		if _, err := ParseOperator([]byte(bad)); !errors.As(err, &e) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// All sockets together stay within the machine's limit for any number of shards,
// and a fleet half as large again as any seen finds room at one controller.
func TestSocketsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		s.Deployment.Limits.MaxConnections = rapid.IntRange(200, 20000).Draw(t, "limit")
		s.Deployment.Zones = make([]string, rapid.IntRange(1, 9).Draw(t, "zones"))
		front, commands := s.Sockets()
		if front < s.Deployment.Limits.MaxConnections/2 || commands < 1 {
			t.Fatalf("front %d, commands %d", front, commands)
		}
		all := front + commands*len(s.Deployment.Zones)
		if commands > constants.CommandsLeast && all > s.Deployment.Limits.MaxConnections-constants.OwnSockets {
			t.Fatalf("front %d and %d commands for each of %d shards: more than %d", front, commands, len(s.Deployment.Zones), s.Deployment.Limits.MaxConnections)
		}
	})
	s := Settings{}
	s.Deployment.Limits.MaxConnections, s.Deployment.Zones = 3130, []string{"a", "b"}
	if front, _ := s.Sockets(); front < 2600 {
		t.Fatalf("2600 workers do not fit the front's %d sockets", front)
	}
}

// The smaller of present and announced limits counts, and what is not announced
// stays.
func TestLimitsToCome(t *testing.T) {
	for _, c := range []struct {
		next string
		want StoreLimits
	}{
		{"", StoreLimits{200, 20, 8, 12}},
		{"[facts.state.next]\n", StoreLimits{200, 20, 8, 12}},
		{"[facts.state.next]\nvalue_kb = 2.0\n", StoreLimits{200, 20, 2, 12}},
		{"[facts.state.next]\nrps = 500.0\nwrite_rps = 15.0\nvalue_kb = 64.0\ntxn_ops = 4\n", StoreLimits{200, 15, 8, 4}},
	} {
		s, err := Parse([]byte(strings.Replace(good, "[facts.cloud]", c.next+"[facts.cloud]", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.StoreLimits(); got != c.want || s.ValueBytes() != int(c.want.ValueKB*1024) {
			t.Errorf("%q: %+v, wanted %+v", c.next, got, c.want)
		}
	}
}

// A controller keeps as many processors busy as it has a share of, and no share
// is none at all.
func TestProcessorsOfAShare(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.072: 1, 0.5: 1, 1: 1, 1.5: 2, 8: 8} {
		var s Settings
		s.Deployment.Limits.CPU = share
		if got := s.Processors(); got != want {
			t.Errorf("%g of a processor: %d, wanted %d", share, got, want)
		}
	}
}

// The smaller the machine, the longer it leaves a second shard to that one's own
// controller, within bounds; one whose share is not known does not wait.
func TestSecondShardWaitFollowsTheShare(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 0, 8: 50 * time.Millisecond, 1: 400 * time.Millisecond, 0.1: 4 * time.Second, 0.01: constants.MaxSecondShardDelay} {
		s.Deployment.Limits.CPU = share
		if got := s.SecondShardWait(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}

// A round may have the same processor time on a part of a processor, within bounds.
func TestRoundBudgetFollowsTheShare(t *testing.T) {
	var s Settings
	for share, want := range map[float64]time.Duration{0: 5 * time.Millisecond, 4: 5 * time.Millisecond, 1: 5 * time.Millisecond, 0.5: 10 * time.Millisecond, 0.01: constants.MaxRoundBudget} {
		s.Deployment.Limits.CPU = share
		if got := s.RoundBudget(); got != want {
			t.Errorf("with %g of a processor: %s, wanted %s", share, got, want)
		}
	}
}
