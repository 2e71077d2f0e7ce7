package loopback

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// controller is a controller that runs as a separate process.
type controller struct {
	name              string
	serverAddr        string // for users and workers
	settingsPath      string
	program           string
	arguments         []string
	log               *os.File      // nil: the test's own standard error
	process           *exec.Cmd     // nil: the controller does not run
	paused            atomic.Bool   // paused by a signal, so that the controller does not respond
	pastProcessorTime time.Duration // processor time of the controller's earlier processes
}

// start starts the process, and fails the test if it cannot be started.
func (c *controller) start(tb testing.TB) {
	tb.Helper()
	if err := c.launch(); err != nil {
		tb.Fatal(err)
	}
	tb.Logf("%s is process %d", c.name, c.process.Process.Pid)
}

// launch starts the process. The log level is info if the test reads the log, and error
// otherwise.
func (c *controller) launch() error {
	c.process = exec.Command(c.program, c.arguments...)
	c.process.Env = append(os.Environ(), "LOG_LEVEL=error")
	c.process.Stderr = os.Stderr
	if c.log != nil {
		c.process.Env = append(os.Environ(), "LOG_LEVEL=info")
		c.process.Stderr = c.log
	}
	return c.process.Start()
}

// kill kills the process without a shutdown, as in a crash.
func (c *controller) kill() {
	if c.process == nil {
		return
	}
	if err := c.process.Process.Kill(); err == nil {
		_ = c.process.Wait() // the error only says that the process was killed
		c.pastProcessorTime += c.process.ProcessState.UserTime() + c.process.ProcessState.SystemTime()
	}
	c.process = nil
}

// restartController kills a controller if it is running, and then starts it.
func (f *fleet) restartController(i int) {
	c := f.controllers[i]
	c.kill()
	if err := c.launch(); err != nil {
		panic(err)
	}
}

// signalController sends a signal to a controller if it is running.
func (f *fleet) signalController(i int, s syscall.Signal) {
	if p := f.controllers[i].process; p != nil {
		_ = p.Process.Signal(s) // the process may have ended by itself
	}
}

// ownerIndex returns the index of the controller that owns a zone's shard; 0 if the shard
// has no owner.
func (f *fleet) ownerIndex(zone string) int {
	name, _ := f.store.shardOwner(zone)
	return max(0, f.controllerIndex(name))
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from 0 after the name of the program.
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

// usage is a controller's use of its machine.
type usage struct {
	processorTime time.Duration // total of all processes of the controller so far
	memoryMB      float64       // current resident memory
}

func (c *controller) usage() usage {
	if c.process == nil {
		return usage{processorTime: c.pastProcessorTime}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.process.Process.Pid))
	if err != nil {
		return usage{processorTime: c.pastProcessorTime}
	}
	nameEnd := bytes.LastIndexByte(stat, ')') // the name may contain any character, even a parenthesis
	fields := strings.Fields(string(stat[nameEnd+1:]))
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	pages, _ := strconv.ParseFloat(fields[statResidentPages], 64)
	return usage{
		processorTime: c.pastProcessorTime + time.Duration(user+system)*clockTick,
		memoryMB:      pages * float64(os.Getpagesize()) / (1 << 20),
	}
}

// processorTime returns the processor time of all controllers so far.
func (f *fleet) processorTime() time.Duration {
	sum := time.Duration(0)
	for _, c := range f.controllers {
		sum += c.usage().processorTime
	}
	return sum
}
