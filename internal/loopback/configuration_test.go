package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// configureController writes a controller's settings files and returns the controller
// without starting it. Each controller has its own files, because a controller that was
// started before may be reading its files at this moment.
func (f *fleet) configureController(tb testing.TB, i int) *controller {
	tb.Helper()
	write := func(name, text string) string {
		path := filepath.Join(f.dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
		return path
	}
	c := &controller{name: controllerName(i), serverAddr: serverAddress(i), program: f.program}
	c.settingsPath = write(c.name+".toml", f.settingsText(i))
	c.arguments = []string{"--config", c.settingsPath}
	if f.operatorProperties != "" {
		c.arguments = append(c.arguments, "--properties", write(c.name+".properties", f.operatorProperties))
	}
	if i == 0 && f.earlierProgram != "" {
		c.program = f.earlierProgram
	} else if f.detectionProperties != "" {
		text := f.detectionProperties + "\ndetection.history.path = " + f.historyPath(c) + "\n"
		c.arguments = append(c.arguments, "--failure-detection", write(c.name+".detection", text))
	}
	if f.drainingProperties != "" {
		c.arguments = append(c.arguments, "--draining", write(c.name+".draining", f.drainingProperties))
	}
	if f.canPartition {
		log, err := os.Create(filepath.Join(f.dir, c.name+".log"))
		if err != nil {
			tb.Fatal(err)
		}
		c.log = log
	}
	return c
}

// controllerName returns the name of a controller by its index.
func controllerName(i int) string { return fmt.Sprintf("n-%d", i) }

// historyPath returns the path of the file in which a controller stores membership events.
func (f *fleet) historyPath(c *controller) string { return filepath.Join(f.dir, c.name+".history") }

// settingsText returns the text of a controller's settings file.
func (f *fleet) settingsText(i int) string {
	var text strings.Builder
	zone := func(i int) string { return f.zones[i%len(f.zones)] }
	fmt.Fprintf(&text, `node = %q
domain = %q
bind = %q
back = %q
`, controllerName(i), zone(i), serverAddress(i), peerAddress(i))
	for other := range f.numControllers() {
		if other == i {
			continue
		}
		fmt.Fprintf(&text, `[[siblings]]
node = %q
domain = %q
peer_addr = %q
`, controllerName(other), zone(other), f.peerAddressFrom(i, other))
	}
	fmt.Fprintf(&text, `[outside]
cloud = %q
state = %q
[facts]
size = %d
zones = ["%s"]
clock_off_ms = 25.0
[[facts.teams]]
name = "team"
`, cloudAddr(), f.storeAddressFrom(i), f.numControllers(), strings.Join(f.zones, `", "`))
	fmt.Fprintf(&text, `[facts.workers]
report_s = %.1f
lease_s = %.1f
cancel_s = %.1f
gang_wait_s = 30.0
gang_peer_s = 8.0
[facts.state]
rps = 200.0
write_rps = %.1f
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 10.0
list_lag_s = 5.0
[facts.machine_limits]
cpu = %g
memory_mb = %g
max_connections = 3000
`, f.heartbeatPeriod.Seconds(), f.workerLeaseS, f.cancelTimeoutS, f.writeRPS, f.cpu, f.memoryMB)
	return text.String()
}

// peerAddressFrom returns the address at which one controller reaches another controller.
func (f *fleet) peerAddressFrom(from, to int) string {
	if f.links == nil {
		return peerAddress(to)
	}
	return f.links.peers[from][to].addr()
}

// storeAddressFrom returns the address at which a controller reaches the store.
func (f *fleet) storeAddressFrom(from int) string {
	if f.links == nil {
		return storeAddr()
	}
	return f.links.store[from].addr()
}
