package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"ravenport/peer"
)

// runDrainCommand runs the program's drain command against a controller and returns the
// command's standard output. The error includes the command's standard error.
func (f *fleet) runDrainCommand(controller int, args ...string) (string, error) {
	command := exec.Command(f.program, "drain")
	command.Args = append(command.Args, args...)
	command.Args = append(command.Args, "--controller", peerAddress(controller))
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	if err := command.Run(); err != nil {
		return stdout.String(), fmt.Errorf("%w: %s", err, stderr.String())
	}
	return stdout.String(), nil
}

// drainCommandReply runs the drain command and decodes the JSON reply that the command
// prints.
func (f *fleet) drainCommandReply(controller int, args ...string) (*peer.DrainReply, error) {
	output, err := f.runDrainCommand(controller, append(args, "--json")...)
	if err != nil {
		return nil, err
	}
	var reply peer.DrainReply
	if err := json.Unmarshal([]byte(output), &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// drainStatus returns the status of all drains from the first controller that responds.
func (f *fleet) drainStatus(t *testing.T) *peer.DrainStatus {
	t.Helper()
	var lastErr error
	for range 20 {
		for i, c := range f.controllers {
			if c.process == nil || c.paused.Load() {
				continue
			}
			reply, err := f.drainCommandReply(i, "status")
			if err == nil && reply.Status != nil {
				return reply.Status
			}
			lastErr = err
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("no controller returns the status of drains: %v", lastErr)
	return nil
}

// drainView returns the status of one drain, or the zero value if the controllers do not
// know the drain yet.
func (f *fleet) drainView(t *testing.T, number int) peer.DrainView {
	t.Helper()
	for _, view := range f.drainStatus(t).Drains {
		if view.Number == number {
			return view
		}
	}
	return peer.DrainView{}
}

// startDrain starts a drain of all machines with the drain command and returns the drain's
// number.
func (f *fleet) startDrain(t *testing.T) int {
	t.Helper()
	var lastErr error
	for range 40 { // right after a failover a shard may have no owner that responds
		reply, err := f.drainCommandReply(0, "start", "--all")
		if err == nil {
			return reply.Number
		}
		lastErr = err
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatalf("the drain was not started: %v", lastErr)
	return 0
}

// checkRefusals checks that the drain command refuses invalid requests with a non-zero exit
// code and the name of the invalid field, and that it accepts a valid request.
func (f *fleet) checkRefusals(t *testing.T) {
	t.Helper()
	for field, args := range map[string][]string{
		"zone":       {"start", "--zone", "x"},
		"selection":  {"start"},
		"drain":      {"cancel", "7"},
		"controller": {"status", "--config", f.controllers[0].settingsPath},
	} {
		if _, err := f.runDrainCommand(0, args...); err == nil || !strings.Contains(err.Error(), field+": ") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if output, err := f.runDrainCommand(0, "status"); err != nil || !strings.Contains(output, "BUDGET") {
		t.Errorf("%q, %v", output, err)
	}
}
