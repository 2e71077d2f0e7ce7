package loopback

import (
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

// controller is one real process.
type controller struct {
	name, serverAddr, settingsPath string
	program                        string
	arguments                      []string
	log                            *os.File // nil: the test's own standard error
	process                        *exec.Cmd
	paused                         atomic.Bool   // by a signal, so that it answers nothing
	pastProcessorTime              time.Duration // by its earlier processes
}

func (c *controller) start(b testing.TB) {
	if err := c.launch(); err != nil {
		b.Fatal(err)
	}
	b.Logf("%s is process %d", c.name, c.process.Process.Pid)
}

// launch starts the process.
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

// kill ends the process, as a crash would.
func (c *controller) kill() {
	if c.process == nil {
		return
	}
	if err := c.process.Process.Kill(); err == nil {
		_ = c.process.Wait() // it reports the kill
		c.pastProcessorTime += c.process.ProcessState.UserTime() + c.process.ProcessState.SystemTime()
	}
	c.process = nil
}

// restartController starts a controller that was killed.
func (f *fleet) restartController(node int) {
	c := f.controllers[node]
	c.kill()
	if err := c.launch(); err != nil {
		panic(err)
	}
}

func (f *fleet) signalController(node int, s syscall.Signal) {
	if p := f.controllers[node].process; p != nil {
		_ = p.Process.Signal(s)
	}
}

// ownerIndex is the controller that owns a shard.
func (f *fleet) ownerIndex(zone string) int {
	name, _ := f.store.shardOwner(zone)
	return max(0, f.controllerIndex(name))
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage is the processor time taken so far and the memory resident now.
func (c *controller) usage() (time.Duration, float64) {
	if c.process == nil {
		return c.pastProcessorTime, 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.process.Process.Pid))
	if err != nil {
		return c.pastProcessorTime, 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return c.pastProcessorTime + time.Duration(user+system)*clockTick, pages * float64(os.Getpagesize()) / (1 << 20)
}

func (f *fleet) processorTime() time.Duration {
	sum := time.Duration(0)
	for _, c := range f.controllers {
		used, _ := c.usage()
		sum += used
	}
	return sum
}
