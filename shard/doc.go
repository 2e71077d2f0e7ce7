// Package shard implements the owner of one shard. The owner rebuilds from the heartbeats of
// its machines which tasks run, places tasks by best fit, and scales the shard out and in.
// The package does no I/O: messages, state and time go in, actions come out, and an actor of
// package controller carries the actions out.
//
// Core handles messages and runs the periodic steps. Its files, in the order of a step:
//
//   - state, machine, attempt, job, usage, resources, jobrecords: the known state of machines,
//     attempts, jobs and tasks
//   - heartbeat, reconcile: reconciliation of that state with heartbeats
//   - pages, inventory: the durable inventory of machines
//   - placement, with waiting, placementstate, machineselection, bestfit, reservation,
//     preempt, preemptcheckpoint and offload: placement of waiting tasks by best fit,
//     preemption on their behalf, and tasks that are returned to the leader
//   - gang, gangattempt, gangpacking, gangpreempt, gangreserve, gangshapes: the same for gangs
//   - scaleout, scaleoutgang, machineoffer, pendingcapacity, backlog, arrivals, forecast,
//     reserve: scale out, and reserved capacity
//   - spotreclaim, consolidation: eviction from machines that the cloud reclaims, and from
//     on-demand machines that the shard does not need
//   - draining, cordon, eviction, migration, drainplan, availability, interruptions: drains
//     and disruption budgets
//   - liveness, partition, cloudlist, scalein: lease expiry, machines that do not send
//     heartbeats or do not receive commands, partitions, and scale in
//   - assignments: closing of finished assignments in the jobs' records
//   - pendingcommands, directcommands: commands to machines, in replies to heartbeats and sent
//     directly
//
// Core is composed of state types: fleetView (ownership, knownState, liveness),
// inventoryPages, placement, gangReserves, scaleOutState, consolidation, draining with its
// interruptions and the ledger of package disruption, closeQueue, outbox and aggregates. A
// method of a state type changes that state and its arguments, which may be machines, jobs,
// attempts and tasks; many take the fleetView. Methods of Core combine several states.
//
// The files aggregate and summary compute the figures for the leader, users and operators.
// The file action declares the actions of the actor, commits the transactions, pace the
// limits on how often work is done, and termcounters the numbers of attempts and tokens
// within a term.
package shard
