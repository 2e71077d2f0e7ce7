package loopback

import (
	"testing"
	"time"
)

// BenchmarkManyHeartbeats has machines that report often and tasks that end soon.
func BenchmarkManyHeartbeats(b *testing.B) {
	for range b.N {
		measureFleet(b, manyHeartbeats)
	}
}

// BenchmarkManyMachines has more machines and longer tasks.
func BenchmarkManyMachines(b *testing.B) {
	for range b.N {
		measureFleet(b, manyMachines)
	}
}

// measureFleet plays a cold start, steady hours, the end of all controllers but one, and
// their return.
func measureFleet(b *testing.B, d deployment) {
	f := newFleet(b, d)
	time.Sleep(3 * time.Second)
	for range d.services {
		f.submit(true)
	}
	for range d.initialArrays {
		f.submit(false)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(d.arrayInterval):
				f.submit(false)
			}
		}
	}()
	f.measurePhase(b, "start", 25*time.Second)
	f.measurePhase(b, "steady", 30*time.Second)
	others := f.controllers[1:]
	for _, c := range others {
		c.kill()
	}
	f.measurePhase(b, "takeover", 10*time.Second)
	f.measurePhase(b, "alone", 20*time.Second)
	for _, c := range others {
		c.start(b)
	}
	f.measurePhase(b, "back", 10*time.Second)
}

// measurePhase lets time pass and reports the processor time of all controllers in it,
// in all and for each report.
func (f *fleet) measurePhase(b *testing.B, name string, d time.Duration) {
	before := f.processorTime()
	reports, commands, starts := f.heartbeats.Load(), f.directCommands.Load(), f.taskStarts.Load()
	time.Sleep(d)
	spent := f.processorTime() - before
	n := f.heartbeats.Load() - reports
	b.ReportMetric(float64(spent.Microseconds())/float64(max(n, 1)), name+"-us/report")
	b.ReportMetric(spent.Seconds()/d.Seconds()/float64(len(f.controllers)), name+"-cores")
	memory := 0.0
	for _, c := range f.controllers {
		_, mb := c.usage()
		memory = max(memory, mb)
	}
	b.Logf("%-8s %6.0f ms a second in all, %5.0f reports, %4.0f commands, %4.0f starts a second; %d machines; %.0f MB at most", name, 1000*spent.Seconds()/d.Seconds(),
		float64(n)/d.Seconds(), float64(f.directCommands.Load()-commands)/d.Seconds(), float64(f.taskStarts.Load()-starts)/d.Seconds(), f.cloud.machineCount(), memory)
}
