// Package loopback tests and measures real controller processes on this machine's
// loopback interface. The key-value store, the cloud, the workers and the users are
// stand-ins. Everything is in test files: failover tests let controllers fail while jobs
// run (flags -takeover.*), drain tests replace all machines of a fleet at work (flags
// -drain.*), and benchmarks, which the tests do not run, measure the processor time and
// the memory that the controllers take for a fleet of workers, by kind of work:
//
//	go test ./internal/loopback -run '^$' -bench . -benchtime 1x -v
package loopback
