// Package wire defines the JSON messages, paths and string constants of every protocol
// that ravenport speaks: with users, workers, the cloud and the key-value store. Clients
// may import the package.
//
// Only this package maps the protocol's own names to the terms of the field. The
// protocol's names appear in the package's JSON tags and string constants, and nowhere
// else in Go code. The most frequent names are:
//
//	protocol                       term                     in Go
//
//	Jobs
//	runs, uid                      jobs, job id             PathJobs, ID
//	lane, crew, rank               class, team, priority    Class, Team, Priority
//	shape                          kind of job              Kind
//	  sweep, standing, ensemble      array, service, gang     KindArray, KindService, KindGang
//	pieces, piece                  tasks, task              Tasks, Task
//	cards                          GPUs                     GPUs
//	kit, pull_gb                   image and its size       Image, ImageGB
//	flavors, builds, build, sku    machine types            Types, Type
//	yard                           zone                     Zone
//	scatter                        spread over zones        Spread
//	loaners                        spot instances           Spot
//	guess_s, due_s                 estimate, deadline       EstimateS, DeadlineS
//	mark_every_s, stow_s           checkpoint times         CheckpointIntervalS, CheckpointSaveS
//	abort                          cancellation             CancelSuffix
//
//	Workers
//	beat                           heartbeat                Heartbeat
//	host                           machine                  Machine
//	shift                          epoch                    Epoch
//	tally                          sequence number          Seq
//	baton                          fencing token            FencingToken
//	warning_s                      spot notice              NoticeS
//	try                            attempt                  Attempt
//	pulling, halted, full          fetching, stopped,       TaskFetching, CauseStopped,
//	                               no capacity              CauseNoCapacity
//	kept                           checkpointed             Checkpointed
//	orders, verb                   commands, operation      Commands, Op
//	wind_down_s                    grace period             GraceS
//	foreman                        redirect target          Redirect.Controller
//
//	Cloud
//	requisition                    idempotency key          RequestID
//	hosts, number                  machines, count          Machines, Count
//	hourly, ready_s                price, boot time         Price, BootS
//
//	Key-value store
//	path, data, stamp              key, value, version      Key, Value, Version
//	ledger_count                   revision                 Revision
//	multi, if, apply               transaction, conditions, Txn, Conditions, Changes
//	                               changes
//	holds, tenure, life_ms         leases, lease id, TTL    PathLeases, Lease, TTLMS
//	follow, log                    watch, events            PathWatch, Events
//	entries, has_next              page of keys             Items, HasMore
package wire
