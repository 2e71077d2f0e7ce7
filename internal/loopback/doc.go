// Package loopback tests and measures real controller processes on the loopback interface
// of one machine. The key-value store, the cloud, the workers and the users are fakes. The
// package has only test files:
//
//   - Failover tests inject failures of controllers while jobs run (flags -takeover.*).
//   - Drain tests replace all machines of a fleet while jobs run (flags -drain.*).
//   - Benchmarks measure the controllers' processor time and memory for a fleet of workers,
//     in each phase of operation.
//
// The tests do not run the benchmarks. This command does:
//
//	go test ./internal/loopback -run '^$' -bench . -benchtime 1x -v
package loopback
