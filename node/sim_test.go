package node

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ravenport/wire"
)

// day plays a generated day of a deployment: jobs of every sort, and troubles
// of every sort that may overlap. It returns the world after it has calmed.
func day(t *testing.T, seed uint64, zones []string, sabotage func(*world)) *world {
	t.Helper()
	w := newWorld(seed, zones, 3)
	if sabotage != nil {
		sabotage(w)
	}
	for _, n := range w.nodes {
		n.start()
	}
	go func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(50 * time.Millisecond):
				w.expire()
			}
		}
	}()
	for i := range 24 {
		s := wire.Submission{
			ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "free", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: 1 + w.rng.IntN(6), CPUs: float64(1 + w.rng.IntN(4)), MemoryGB: 1, Image: fmt.Sprintf("i-%d", w.rng.IntN(3)), ImageGB: 1,
			Spot: w.rng.IntN(2) == 0, EstimateS: float64(2 + w.rng.IntN(20)),
		}
		if i%3 == 0 {
			s.Kind, s.Priority, s.Spot, s.CPUs, s.EstimateS = wire.KindService, wire.PriorityProduction, false, 2, 0
			s.Tasks = 1 + w.rng.IntN(2)
			s.Spread = true
		}
		if i%4 == 1 {
			s.Team, s.CPUs = "tight", 3
		}
		if i%8 == 5 {
			s.OneZone, s.Spread = true, false
		}
		if i%8 == 7 {
			s.Zone, s.Spread = zones[w.rng.IntN(len(zones))], false
		}
		j := &simJob{spec: s, doneTasks: map[int]bool{}}
		w.jobs[s.ID] = j
		var cancel time.Duration
		if s.IsService() || w.rng.IntN(6) == 0 {
			cancel = time.Duration(20+w.rng.IntN(150)) * time.Second
		}
		go w.user(j, time.Duration(w.rng.IntN(120))*time.Second, cancel)
	}
	trouble(w, 200*time.Second)
	// Calm: everything is mended, and what was accepted must come to an end.
	w.setOutage(false)
	w.mu.Lock()
	for _, n := range w.nodes {
		n.cutState, n.cutWork = false, false
	}
	w.cloudOut = false
	for _, m := range w.machines {
		m.cut, m.hung = false, false
	}
	w.mu.Unlock()
	for _, n := range w.nodes {
		if n.up() == nil {
			n.start()
		}
	}
	time.Sleep(240 * time.Second)
	close(w.stop)
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(2 * time.Minute) // late messages and retries run out
	return w
}

// trouble makes things fail, one or several at a time, for a while.
func trouble(w *world, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(w.between(2*time.Second, 12*time.Second))
		n := w.nodes[int(w.between(0, time.Duration(len(w.nodes)-1)))]
		for_ := w.between(time.Second, 35*time.Second)
		later := func(f func()) { time.AfterFunc(for_, f) }
		switch w.between(0, 9) {
		case 9:
			set := func(v bool) { w.mu.Lock(); w.cloudOut = v; w.mu.Unlock() }
			set(true)
			later(func() { set(false) })
		case 0, 1: // a crash; back within a fraction of a second or after seconds
			n.kill()
			time.AfterFunc(w.between(200*time.Millisecond, 6*time.Second), func() {
				if n.up() == nil {
					n.start()
				}
			})
		case 2: // all crash
			for _, n := range w.nodes {
				n.kill()
			}
			time.Sleep(w.between(200*time.Millisecond, 6*time.Second))
			for _, n := range w.nodes {
				if n.up() == nil {
					n.start()
				}
			}
		case 3: // refused by the state service alone
			set := func(v bool) { w.mu.Lock(); n.cutState = v; w.mu.Unlock() }
			set(true)
			later(func() { set(false) })
		case 4: // cut from the workers
			set := func(v bool) { w.mu.Lock(); n.cutWork = v; w.mu.Unlock() }
			set(true)
			later(func() { set(false) })
		case 5:
			w.setOutage(true)
			later(func() { w.setOutage(false) })
		case 6, 7, 8: // a machine hangs, is cut off or is taken
			w.mu.Lock()
			what := w.rng.IntN(3)
			for _, m := range w.machines {
				switch what {
				case 0:
					m.hung = true
					later(func() { w.mu.Lock(); m.hung = false; w.mu.Unlock() })
				case 1:
					m.cut = true
					later(func() { w.mu.Lock(); m.cut = false; w.mu.Unlock() })
				case 2:
					if m.spot {
						w.remove(m.name)
					}
				}
				break
			}
			w.mu.Unlock()
		}
	}
}

// simDays and simFrom let a developer play many more days than CI does.
var (
	simDays = flag.Uint64("sim.days", 12, "generated days to play")
	simLog  = flag.Bool("sim.log", false, "print the controllers' logs")
	simFrom = flag.Uint64("sim.from", 0, "seed of the first day")
)

func quietLogs(t *testing.T) {
	old := slog.Default()
	out := io.Writer(io.Discard)
	if *simLog {
		out = os.Stderr
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() { slog.SetDefault(old) })
}

// Whatever fails, no rule of the protocol is broken, and once things have
// calmed down everything accepted comes to its end.
func TestRulesHoldThroughTroubles(t *testing.T) {
	quietLogs(t)
	for seed := *simFrom; seed < *simFrom+*simDays; seed++ {
		zones := []string{"a", "b", "c"}[:2+seed%2]
		synctest.Test(t, func(t *testing.T) {
			w := day(t, seed, zones, nil)
			if len(w.broken) > 0 {
				t.Fatalf("seed %d: %d broken rules, first: %s", seed, len(w.broken), strings.Join(w.broken[:min(4, len(w.broken))], "; "))
			}
			t.Logf("seed %d: %d starts, %d machines, %d revisions", seed, w.starts, w.seq, w.revision)
			if w.starts < 20 {
				t.Errorf("seed %d: only %d tasks started", seed, w.starts)
			}
			for id, j := range w.jobs {
				if !j.accepted {
					t.Errorf("seed %d: %s was never accepted", seed, id)
				} else if j.told == "" {
					t.Errorf("seed %d: %s never ended: %d of %d tasks done (%+v)", seed, id, len(j.doneTasks), j.spec.Tasks, j.spec)
				}
			}
		})
	}
}

// The checker has teeth: without the guards that the protocol gives, it finds
// the rules broken. A guard that is never missed would prove nothing.
func TestCheckerNoticesMissingGuards(t *testing.T) {
	quietLogs(t)
	for name, sabotage := range map[string]func(*world){
		"conditional writes": func(w *world) { w.noConditions = true },
		"tokens":             func(w *world) { w.noTokens = true; w.late = 0.5 },
		// With the cloud away nothing is surely gone but by its lease.
		"workers' leases": func(w *world) { w.noLease = true; time.AfterFunc(60*time.Second, func() { w.cloudOut = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				found := false
				synctest.Test(t, func(t *testing.T) { found = len(day(t, seed, []string{"a", "b"}, sabotage).broken) > 0 })
				if found {
					t.Logf("noticed on day %d", seed)
					return
				}
			}
			t.Error("sixty days without this guard, and no rule was seen broken")
		})
	}
}
