package loopback

import (
	"testing"
	"time"
)

// BenchmarkManyHeartbeats measures a fleet with frequent heartbeats and short tasks.
func BenchmarkManyHeartbeats(b *testing.B) {
	for range b.N {
		measureFleet(b, manyHeartbeats)
	}
}

// BenchmarkManyMachines measures a fleet with more machines and longer tasks.
func BenchmarkManyMachines(b *testing.B) {
	for range b.N {
		measureFleet(b, manyMachines)
	}
}

// measureFleet measures a cold start, steady operation, the failover of all shards to one
// controller, operation by that controller alone, and the restart of the other controllers.
func measureFleet(b *testing.B, deployment deployment) {
	fleet := newFleet(b, deployment)
	time.Sleep(3 * time.Second)
	for range deployment.services {
		fleet.submitAndPoll(fleet.nextService())
	}
	for range deployment.initialArrays {
		fleet.submitAndPoll(fleet.nextArray())
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(deployment.arrayInterval):
				fleet.submitAndPoll(fleet.nextArray())
			}
		}
	}()
	fleet.measurePhase(b, "start", 25*time.Second)
	fleet.measurePhase(b, "steady", 30*time.Second)
	others := fleet.controllers[1:]
	for _, c := range others {
		c.kill()
	}
	fleet.measurePhase(b, "takeover", 10*time.Second)
	fleet.measurePhase(b, "alone", 20*time.Second)
	for _, c := range others {
		c.start(b)
	}
	fleet.measurePhase(b, "back", 10*time.Second)
}

// measurePhase waits for a duration and reports the processor time that all controllers
// used meanwhile, in total and per heartbeat.
func (f *fleet) measurePhase(b *testing.B, name string, d time.Duration) {
	processorTimeBefore := f.processorTime()
	heartbeatsBefore := f.heartbeats.Load()
	commandsBefore := f.directCommands.Load()
	startsBefore := f.taskStarts.Load()
	time.Sleep(d)
	processorTime := f.processorTime() - processorTimeBefore
	heartbeats := f.heartbeats.Load() - heartbeatsBefore
	commands := f.directCommands.Load() - commandsBefore
	starts := f.taskStarts.Load() - startsBefore

	b.ReportMetric(float64(processorTime.Microseconds())/float64(max(heartbeats, 1)), name+"-us/report")
	b.ReportMetric(processorTime.Seconds()/d.Seconds()/float64(len(f.controllers)), name+"-cores")
	maxMemoryMB := 0.0
	for _, c := range f.controllers {
		maxMemoryMB = max(maxMemoryMB, c.usage().memoryMB)
	}
	perSecond := func(count int64) float64 { return float64(count) / d.Seconds() }
	b.Logf("%-8s %6.0f ms a second in all, %5.0f reports, %4.0f commands, %4.0f starts a second; %d machines; %.0f MB at most",
		name, 1000*processorTime.Seconds()/d.Seconds(), perSecond(heartbeats), perSecond(commands), perSecond(starts), f.cloud.machineCount(), maxMemoryMB)
}
