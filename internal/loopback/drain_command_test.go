package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ravenport/peer"
)

// runDrainCommand carries out the program's drain command at a controller and returns what it
// printed.
func (f *fleet) runDrainCommand(node int, args ...string) (string, error) {
	line := append([]string{"drain"}, args...)
	line = append(line, "--controller", peerAddress(node))
	var out, problem bytes.Buffer
	c := exec.Command(f.program, line...)
	c.Stdout, c.Stderr = &out, &problem
	if err := c.Run(); err != nil {
		return out.String(), fmt.Errorf("%w: %s", err, problem.String())
	}
	return out.String(), nil
}

// drainStatus asks whichever controller answers for the status of all drains.
func (f *fleet) drainStatus(t *testing.T) *peer.DrainStatus {
	t.Helper()
	var last error
	for range 20 {
		for node, c := range f.controllers {
			if c.process == nil || c.paused.Load() {
				continue
			}
			out, err := f.runDrainCommand(node, "status", "--json")
			var reply peer.DrainReply
			if err == nil {
				err = json.Unmarshal([]byte(out), &reply)
			}
			if err == nil && reply.Status != nil {
				return reply.Status
			}
			last = err
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("nobody tells the status of drains: %v", last)
	return nil
}

// drainView is a drain as the controllers tell of it.
func (f *fleet) drainView(t *testing.T, number int) peer.DrainView {
	t.Helper()
	for _, v := range f.drainStatus(t).Drains {
		if v.Number == number {
			return v
		}
	}
	return peer.DrainView{}
}

// startDrain starts a drain of all machines by the command line and returns its number.
func (f *fleet) startDrain(t *testing.T) int {
	t.Helper()
	var last error
	for range 40 { // right after a takeover an owner may not be there to be asked
		out, err := f.runDrainCommand(0, "start", "--all", "--json")
		var reply peer.DrainReply
		if err == nil {
			if err = json.Unmarshal([]byte(out), &reply); err == nil {
				return reply.Number
			}
		}
		last = err
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatalf("the drain was not started: %v", last)
	return 0
}

// checkRefusals sees that what cannot be served is refused with the field's name and an exit
// code.
func (f *fleet) checkRefusals(t *testing.T) {
	t.Helper()
	for field, args := range map[string][]string{
		"zone":       {"start", "--zone", "x"},
		"selection":  {"start"},
		"drain":      {"cancel", "7"},
		"controller": {"status", "--config", filepath.Join(f.dir, "n-0.toml")},
	} {
		if _, err := f.runDrainCommand(0, args...); err == nil || !strings.Contains(err.Error(), field+": ") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if out, err := f.runDrainCommand(0, "status"); err != nil || !strings.Contains(out, "BUDGET") {
		t.Errorf("%q, %v", out, err)
	}
}
