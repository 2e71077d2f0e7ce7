package loopback

import (
	"flag"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenport/internal/disruptioncheck"
	"ravenport/records"
	"ravenport/wire"
)

// drainFailing chooses which failures TestDrainFailuresOfRealProcesses plays: those whose
// name matches, one in each replacement of the fleet. All take half an hour:
//
//	go test ./internal/loopback -run TestDrainFailuresOfRealProcesses -v -timeout 0 -drain.failing killed
var drainFailing = flag.String("drain.failing", "", "failures to play: an expression that their names match; empty: none")

// pollPoint is how often it is looked whether a point of a step is reached.
const pollPoint = 5 * time.Millisecond

// drainPoint is a point of a drain's step, as it is seen from outside.
type drainPoint struct {
	name string
	// reached returns the zone in which a drain has come to the point since the figures
	// were taken; empty: none has.
	reached func(t *testing.T, f *fleet, number int, before disruptioncheck.Figures) string
}

var drainPoints = []drainPoint{
	{"before the grant", func(t *testing.T, f *fleet, number int, _ disruptioncheck.Figures) string {
		for _, p := range f.view(t, number).Shards {
			if len(p.Cordoned) > 0 {
				return p.Shard
			}
		}
		return ""
	}},
	{"after the grant", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.store.claimedIn() }},
	{"after the stop", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.figures().Stops == before.Stops {
			return ""
		}
		return f.zoneOf(f.record.last(&f.record.lastStop))
	}},
	{"after the replacement's start", func(_ *testing.T, f *fleet, _ int, before disruptioncheck.Figures) string {
		if f.figures().Replaced == before.Replaced {
			return ""
		}
		return f.zoneOf(f.record.last(&f.record.lastStart))
	}},
	{"after the close", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.store.closedIn() }},
	{"at the return", func(_ *testing.T, f *fleet, _ int, _ disruptioncheck.Figures) string { return f.cloud.returnedIn() }},
}

// holderFailures are the ways in which the owner of a shard fails.
func (f *fleet) holderFailures() map[string]func(node int) {
	return map[string]func(int){"killed": f.killForLeaseLife, "paused": f.pauseForLong, "cut": f.cutForLong}
}

// playedFailures lists the failures that were chosen.
func (f *fleet) playedFailures(t *testing.T) []drainFailure {
	var all []drainFailure
	for how, hurt := range f.holderFailures() {
		for _, point := range drainPoints {
			failure := drainFailure{name: "the holder is " + how + " " + point.name}
			zone := ""
			failure.due = func(number int, _ time.Duration, before disruptioncheck.Figures) bool {
				zone = point.reached(t, f, number, before)
				return zone != ""
			}
			failure.hurt = func() { hurt(f.ownerOf(zone)) }
			all = append(all, failure)
		}
	}
	midway := func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
		return f.figures().Replaced > before.Replaced+1
	}
	all = append(all,
		drainFailure{"all controllers are restarted", midway, func() {
			for node := range f.controllers {
				f.controllers[node].kill()
				time.AfterFunc(f.leaseLife, func() { f.restart(node) })
			}
		}},
		drainFailure{"a zone is lost with what runs on it", midway, func() {
			for _, m := range f.cloud.present() {
				if m.zone == "b" {
					f.cloud.giveBack([]string{m.name})
				}
			}
		}},
		drainFailure{"a wave of spot machines is taken back", midway, func() {
			if n := f.cloud.takeSpotBack(5 * time.Second); n == 0 {
				t.Error("there was no spot machine")
			}
		}},
		drainFailure{"two replacements never boot", midway, func() { f.cloud.hurtNext(2, 0) }},
		drainFailure{"two replacements never become healthy", midway, func() { f.cloud.hurtNext(0, 2) }},
		drainFailure{"a replacement turns unhealthy just after its step closed", func(_ int, _ time.Duration, before disruptioncheck.Figures) bool {
			return f.figures().Replaced > before.Replaced && f.cloud.returnedIn() != ""
		}, func() { f.failTask(f.record.last(&f.record.lastStart)) }},
	)
	chosen := regexp.MustCompile(*drainFailing)
	slices.SortFunc(all, func(a, b drainFailure) int { return strings.Compare(a.name, b.name) })
	return slices.DeleteFunc(all, func(x drainFailure) bool { return !chosen.MatchString(x.name) })
}

// TestDrainFailuresOfRealProcesses replaces the fleet once for each failure that is chosen,
// which comes at a point of a step. Judged as in TestDrainOfRealProcesses.
func TestDrainFailuresOfRealProcesses(t *testing.T) {
	if *drainFailing == "" {
		t.Skip("a long run: no failure is chosen by -drain.failing")
	}
	f := newFleet(t, drainDeployment())
	f.watchDrains(t)
	jobs := f.load(t)
	replicas := f.services * f.replicas
	f.untilUp(t, replicas, time.Minute)
	for _, failure := range f.playedFailures(t) {
		time.Sleep(4 * time.Second) // all are stable
		f.cloud.forgetReturns()
		r := f.replaceFleet(t, []drainFailure{failure})
		f.untilUp(t, replicas, time.Minute)
		t.Logf("%s: %+v, %+v", failure.name, r, f.figures())
		if n := f.cloud.hurtLeft(); n > 0 {
			t.Errorf("%s: %d machines that were to be hurt were never rented", failure.name, n)
		}
	}
	jobs.settle(t, f)
	for _, broken := range f.record.rulesBroken() {
		t.Error(broken)
	}
	f.keepEvidence(t, nil)
}

// ownerOf is the controller that owns a shard.
func (f *fleet) ownerOf(zone string) int {
	name, _ := f.store.holder(zone)
	return max(0, f.index(name))
}

// killForLeaseLife ends a controller, which is back after its lease's life.
func (f *fleet) killForLeaseLife(node int) {
	f.controllers[node].kill()
	time.AfterFunc(f.leaseLife, func() { f.restart(node) })
}

// pauseForLong has a controller stand still past its lease.
func (f *fleet) pauseForLong(node int) {
	c := f.controllers[node]
	c.stopped.Store(true)
	_ = c.process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(2*f.leaseLife, func() { _ = c.process.Process.Signal(syscall.SIGCONT); c.stopped.Store(false) })
}

// cutForLong cuts a controller from the state service past its lease.
func (f *fleet) cutForLong(node int) {
	link := f.links.store[node]
	link.cut(true)
	time.AfterFunc(2*f.leaseLife, func() { link.cut(false) })
}

// last reads the machine that a record's field names.
func (r *record) last(field *string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *field
}

// zoneOf is the zone of a machine that is there; empty if it is gone.
func (f *fleet) zoneOf(machine string) string {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	if m := f.cloud.workers[machine]; m != nil {
		return m.zone
	}
	return ""
}

// failTask has a task of a service on a machine end with an error.
func (f *fleet) failTask(machine string) {
	f.cloud.mu.Lock()
	m := f.cloud.workers[machine]
	f.cloud.mu.Unlock()
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.tasks {
		if x.State == wire.TaskRunning && !f.isArray(x.Task) {
			x.State, x.Cause, x.next = wire.TaskExited, wire.CauseError, time.Time{}
			m.record.leaves(x.Task, m.name)
			m.notice()
			return
		}
	}
}

// records decodes what is stored under keys with a prefix.
func (s *store) records(prefix string) []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []any
	for key, e := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if record, err := records.Decode(key, e.value); err == nil {
			out = append(out, record)
		}
	}
	return out
}

// claimedIn is a zone whose owner claims something of a budget; empty if none does.
func (s *store) claimedIn() string {
	for _, record := range s.records(records.KeyDisruptionClaim("")) {
		c := record.(*records.DisruptionClaim)
		for _, n := range c.Unavailable {
			if n > 0 {
				return c.Shard
			}
		}
	}
	return ""
}

// closedIn is a zone with a machine that is durably closed; empty if there is none.
func (s *store) closedIn() string {
	for _, record := range s.records(records.KeyPrefix) {
		page, ok := record.(*records.InventoryPage)
		if ok && slices.ContainsFunc(page.Machines(), func(m records.Machine) bool { return m.Terminating }) {
			return page.Shard
		}
	}
	return ""
}

// returnedIn is the zone of the last machine that a controller returned.
func (c *cloud) returnedIn() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReturn
}

// forgetReturns has returnedIn wait for another return.
func (c *cloud) forgetReturns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReturn = ""
}

// hurtNext has the next machines that are rented never boot, or fail all their tasks.
func (c *cloud) hurtNext(bootless, sick int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootless, c.sick = bootless, sick
}

// hurtLeft is how many machines hurtNext still waits for.
func (c *cloud) hurtLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootless + c.sick
}

// takeSpotBack tells all spot machines that they are taken back after a notice, and
// returns how many those are.
func (c *cloud) takeSpotBack(notice time.Duration) int {
	n := 0
	for _, m := range c.present() {
		if !m.spot {
			continue
		}
		n++
		m.mu.Lock()
		m.takenBack = time.Now().Add(notice)
		m.notice()
		m.mu.Unlock()
		time.AfterFunc(notice, func() { c.giveBack([]string{m.name}) })
	}
	return n
}
