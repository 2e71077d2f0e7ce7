package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenport/wire"
)

// censusGap is the time between two rows of a census.
const censusGap = time.Second

// censusRow is what the workers' side shows at one moment.
type censusRow struct {
	at       time.Duration // since the census began
	waiting  int           // tasks of accepted arrays that are neither on a machine nor done
	cpus     float64       // held by tasks
	machines int           // that are up
	withRoom int           // of those, machines that an array's task would fit
	longest  time.Duration // for how long one of those has had room while tasks waited
	where    string        // which one that is
	owners   map[string]string
	leader   string

	unassigned int    // tasks of arrays in no assignment
	revision   uint64 // changes of the state service so far
}

// census counts, second by second and from the workers' side alone, what runs, what
// waits and which machines have room.
type census struct {
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	rows  []censusRow
	since map[string]time.Time // by machine: since when it has room while tasks wait
}

// takeCensus counts until the census is ended.
func (f *fleet) takeCensus(l *load) *census {
	c := &census{stop: make(chan struct{}), since: map[string]time.Time{}}
	began := time.Now()
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		tick := time.NewTicker(censusGap)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case now := <-tick.C:
				row := f.count(c, l, now)
				row.at = now.Sub(began)
				c.mu.Lock()
				c.rows = append(c.rows, row)
				c.mu.Unlock()
			}
		}
	}()
	return c
}

// end ends the census and returns its rows.
func (c *census) end() []censusRow {
	close(c.stop)
	c.done.Wait()
	return c.rows
}

// count makes one row. The machines of a shard whose owner is cut off from its workers
// have nobody to give them anything, and are not counted as having room.
func (f *fleet) count(c *census, l *load, now time.Time) censusRow {
	row := censusRow{owners: map[string]string{}, waiting: l.accepted()*f.tasks - f.record.arrayTasksBegun(f.isArray)}
	row.leader = f.store.leads()
	row.unassigned, row.revision = f.store.unassigned()
	unserved := map[string]bool{}
	for _, zone := range f.zones {
		name, _ := f.store.holder(zone)
		owner := f.index(name)
		row.owners[zone] = name
		unserved[zone] = owner < 0 || f.cutOff[owner].Load()
	}
	room := map[string]bool{}
	for _, m := range f.cloud.present() {
		cpus, up := m.load(f)
		if !up {
			continue
		}
		row.machines++
		row.cpus += cpus
		if machineType.CPUs-cpus < arrayCPUs || unserved[m.zone] {
			continue
		}
		row.withRoom++
		room[m.name] = row.waiting > 0
	}
	for name := range c.since {
		if !room[name] {
			delete(c.since, name)
		}
	}
	for name, waits := range room {
		if !waits {
			continue
		}
		if _, known := c.since[name]; !known {
			c.since[name] = now
		}
		if d := now.Sub(c.since[name]); d >= row.longest {
			row.longest, row.where = d, name
		}
	}
	return row
}

// load is how many CPUs the machine's tasks hold, and whether the machine is up and
// has been answered.
func (m *machine) load(f *fleet) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cpus := 0.0
	for _, t := range m.tasks {
		if t.State != wire.TaskExited {
			cpus += f.cpusOf(t.Task)
		}
	}
	return cpus, m.token > 0 && !m.ended.Load()
}

// cpusOf is what a task takes.
func (f *fleet) cpusOf(task string) float64 {
	if f.isArray(task) {
		return arrayCPUs
	}
	return serviceCPUs
}

// isArray says whether a task is an array's: only those end by themselves.
func (f *fleet) isArray(task string) bool {
	job, _, _ := wire.ParseTaskName(task)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runTime[job] > 0
}

// present lists the machines that are rented.
func (c *cloud) present() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.workers {
		out = append(out, m)
	}
	return out
}

// accepted is how many arrays were accepted.
func (l *load) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrays)
}

// keepEvidence keeps the table and the controllers' logs if the test has failed, or a
// directory for them was asked for, and says where they are.
func (f *fleet) keepEvidence(t *testing.T, rows []censusRow) {
	t.Helper()
	if !t.Failed() && *takeoverKeep == "" {
		return
	}
	to, err := os.MkdirTemp(*takeoverKeep, "ravenport-takeover-")
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("logs and second-by-second table are in %s", to)
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(c.log.Name())), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	var text strings.Builder
	fmt.Fprintln(&text, "second waiting unassigned changes cpus machines with_room longest_s machine owners leader")
	for _, r := range rows {
		fmt.Fprintf(&text, "%6.0f %7d %10d %7d %4.0f %8d %9d %9.0f %s %v %s\n", r.at.Seconds(), r.waiting, r.unassigned, r.revision, r.cpus, r.machines, r.withRoom, r.longest.Seconds(), r.where, r.owners, r.leader)
	}
	if err := os.WriteFile(filepath.Join(to, "census.txt"), []byte(text.String()), 0o600); err != nil {
		t.Error(err)
	}
}
