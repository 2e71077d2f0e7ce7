// Package shard is the owner of one shard: it rebuilds from its machines' heartbeats what
// runs, places tasks by best fit, and scales the shard out and in. It is pure: messages,
// state and time go in, actions come out; an actor of package controller does the I/O.
//
// Core handles messages and makes steps. Its files, in the order of a step:
//
//   - state, machine, attempt, job, usage, resources, jobrecords: what is known of machines,
//     attempts, jobs and tasks
//   - heartbeat, reconcile: reconciliation of that state with heartbeats
//   - pages, inventory: the durable inventory of machines
//   - placement, with waiting, placementstate, machineselection, bestfit, reservation,
//     preempt, preemptcheckpoint and offload: placement of waiting tasks by best fit,
//     preemption for them, and tasks that go back to the leader
//   - gang, gangattempt, gangpacking, gangpreempt, gangreserve, gangshapes: the same for gangs
//   - scaleout, scaleoutgang, machineoffer, pendingcapacity, backlog, arrivals, forecast,
//     reserve: scale out, and the capacity that is held in reserve
//   - spotreclaim, consolidation: eviction from machines that the cloud takes back, and from
//     on-demand machines that the shard can do without
//   - draining, cordon, eviction, migration, drainplan, availability, interruptions: drains,
//     and disruption budgets
//   - liveness, partition, cloudlist, scalein: lease expiry, machines that do not send
//     heartbeats or do not receive commands, partitions, and scale in
//   - assignments: closing of finished assignments in the jobs' records
//   - pendingcommands, directcommands: commands, and those that go straight to machines
//
// Core is composed of states: fleetView (ownership, knownState, liveness), inventoryPages,
// placement, gangReserves, scaleOutState, consolidation, draining with its interruptions and
// the ledger of package disruption, closeQueue, outbox and aggregates. A state's method
// changes that state and its arguments, machines, jobs, attempts and tasks among them; many
// take the fleetView. Methods of Core bring several states together.
//
// aggregate and summary have the figures for leader, users and operators, action what the
// actor has to do, commits the transactions, pace how often a step is made, termcounters
// the numbers of attempts and tokens within a term.
package shard
