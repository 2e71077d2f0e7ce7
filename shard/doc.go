// Package shard is the owner of one shard: it rebuilds from its machines' heartbeats what
// runs, places tasks by best fit, and scales the shard out and in. It is pure: messages,
// state and time go in, actions come out; an actor of package controller does the I/O.
//
// Core takes messages in and asks, in every step and in this order:
//
//   - state, machine, attempt, job, usage, resources, jobrecords: what is known of machines,
//     attempts, jobs and tasks
//   - heartbeat, reconcile: what a heartbeat proves of them
//   - pages, inventory: the durable inventory of machines
//   - placement, with waiting, placementstate, machineselection, bestfit, reservation,
//     preempt, preemptcheckpoint and offload: which waiting task goes to which machine, what
//     is preempted, what goes back to the leader
//   - gang, gangattempt, gangpacking, gangpreempt, gangreserve, gangshapes: the same for gangs
//   - scaleout, scaleoutgang, machineoffer, pendingcapacity, backlog, arrivals, forecast,
//     reserve: scale out, and the capacity that is held in reserve
//   - spotreclaim, consolidation: machines that the cloud takes back, and those to do without
//   - draining, cordon, eviction, migration, drainplan, availability, interruptions: drains,
//     and disruption budgets
//   - liveness, partition, cloudlist, scalein: lease expiry, machines that do not send
//     heartbeats or do not receive commands, partitions, and scale in
//   - assignments: closing of finished assignments in the jobs' records
//   - pendingcommands, directcommands: commands, and those that go straight to machines
//
// Core is composed of states: fleetView (ownership, knownState, liveness), inventoryPages,
// placement, gangReserves, scaleOutState, consolidation, draining with its interruptions and the
// ledger of package disruption, closeQueue, outbox and aggregates. A state's method changes
// that state and what it is handed, machines, jobs, attempts and tasks among it; many are
// handed the fleetView. Methods of Core bring several states together.
//
// aggregate and summary have the figures for leader, users and operators, action what the
// actor has to do, commits the transactions, pace how often a step is made, termcounters
// the numbers of attempts and tokens within a term.
package shard
