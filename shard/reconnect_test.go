package shard

import (
	"fmt"
	"testing"
	"time"

	"ravenport/records"
	"ravenport/wire"
)

// BenchmarkReconnect measures a whole shard whose machines reconnect without any task on
// them. All machines send heartbeats of new epochs within a period, and all tasks of the
// shard, services and arrays of many jobs, are placed again.
func BenchmarkReconnect(b *testing.B) {
	const machines, services, arrays = 600, 200, 60
	for b.Loop() {
		b.StopTimer()
		jobs := map[string]*records.Job{}
		for i := range services {
			id := fmt.Sprintf("run-s%04d", i)
			jobs[id] = &records.Job{ID: id, Spec: wire.Submission{ID: id, Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 16, CPUs: 2, MemoryGB: 3, Image: fmt.Sprintf("i%d", i%12), Spread: true},
				Assignments: []records.Assignment{{From: 0, To: 8, Shard: "a", KeepWaiting: true}, {From: 8, To: 16, Shard: "b", KeepWaiting: true}}}
		}
		for i := range arrays {
			id := fmt.Sprintf("run-a%04d", i)
			jobs[id] = arrayJob(id, 40, "a")
		}
		var inventory []records.Machine
		for i := range machines {
			name := fmt.Sprintf("m-%05d", i)
			inventory = append(inventory, records.Machine{Name: name, Type: "box", Addr: name + ":1"})
		}
		r := newTestOwner(jobs, inventory...)
		r.now = r.now.Add(leaseTimeout + time.Second)
		r.Step(r.now)
		b.StartTimer()
		for step := range 300 { // 6 s
			for i := range 2 {
				name := fmt.Sprintf("m-%05d", step*2+i)
				r.Heartbeat(r.now, newHeartbeat(name, 2, 1, 0))
				r.Heartbeat(r.now, newHeartbeat(name, 2, 2, r.latestToken(name)))
			}
			for _, a := range r.advance(20 * time.Millisecond) {
				if s, ok := a.(SendCommands); ok {
					r.CommandResult(r.now, s.Machine, nil)
				}
			}
		}
	}
}
