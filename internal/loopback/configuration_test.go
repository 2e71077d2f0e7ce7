package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// configureController writes a controller's settings files. Each has its own: the one before may be
// reading its files at this moment.
func (f *fleet) configureController(b testing.TB, dir string, i int) *controller {
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		return path
	}
	c := &controller{name: fmt.Sprintf("n-%d", i), serverAddr: serverAddress(i), program: f.program}
	c.settingsPath = write(c.name+".toml", f.settingsText(i, f.deployment.numControllers()))
	c.arguments = []string{"--config", c.settingsPath}
	if f.operatorProperties != "" {
		c.arguments = append(c.arguments, "--properties", write(c.name+".properties", f.operatorProperties))
	}
	if i == 0 && f.earlierProgram != "" {
		c.program = f.earlierProgram
	} else if f.detectionProperties != "" {
		history := filepath.Join(dir, c.name+".history")
		c.arguments = append(c.arguments, "--failure-detection", write(c.name+".detection", f.detectionProperties+"\ndetection.history.path = "+history+"\n"))
	}
	if f.drainingProperties != "" {
		c.arguments = append(c.arguments, "--draining", write(c.name+".draining", f.drainingProperties))
	}
	if f.canPartition {
		log, err := os.Create(filepath.Join(dir, c.name+".log"))
		if err != nil {
			b.Fatal(err)
		}
		c.log = log
	}
	return c
}

func (f *fleet) settingsText(node, nodes int) string {
	var s strings.Builder
	zone := func(i int) string { return f.zones[i%len(f.zones)] }
	fmt.Fprintf(&s, "node = \"n-%d\"\ndomain = %q\nbind = %q\nback = %q\n", node, zone(node), serverAddress(node), peerAddress(node))
	for i := range nodes {
		if i != node {
			fmt.Fprintf(&s, "[[siblings]]\nnode = \"n-%d\"\ndomain = %q\npeer_addr = %q\n", i, zone(i), f.peerAddressFrom(node, i))
		}
	}
	fmt.Fprintf(&s, "[outside]\ncloud = %q\nstate = %q\n[facts]\nsize = %d\nzones = [\"%s\"]\nclock_off_ms = 25.0\n", cloudAddr(), f.storeAddressFrom(node), nodes, strings.Join(f.zones, "\", \""))
	fmt.Fprintf(&s, "[[facts.teams]]\nname = \"team\"\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n", f.heartbeatPeriod.Seconds(), f.workerLeaseS, f.cancelTimeoutS)
	fmt.Fprintf(&s, "gang_wait_s = 30.0\ngang_peer_s = 8.0\n[facts.state]\nrps = 200.0\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = 12\n", f.writeRPS)
	fmt.Fprintf(&s, "[facts.cloud]\nrps = 10.0\nlist_lag_s = 5.0\n[facts.machine_limits]\ncpu = %g\nmemory_mb = %g\nmax_connections = 3000\n", f.cpu, f.memoryMB)
	return s.String()
}

// peerAddressFrom is where a controller reaches another one.
func (f *fleet) peerAddressFrom(from, to int) string {
	if f.links == nil {
		return peerAddress(to)
	}
	return f.links.peers[from][to].addr()
}

// storeAddressFrom is where a controller reaches the state service.
func (f *fleet) storeAddressFrom(from int) string {
	if f.links == nil {
		return storeAddr()
	}
	return f.links.store[from].addr()
}
