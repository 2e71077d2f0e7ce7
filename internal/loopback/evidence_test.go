package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// saveEvidence keeps the table and the controllers' logs if the test has failed, or a
// directory for them was asked for, and says where they are.
func (f *fleet) saveEvidence(t *testing.T, rows []sample) {
	t.Helper()
	if !t.Failed() && *evidenceDir == "" {
		return
	}
	to, err := os.MkdirTemp(*evidenceDir, "ravenport-takeover-")
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("logs and second-by-second table are in %s", to)
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(c.log.Name())), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	var text strings.Builder
	fmt.Fprintln(&text, "second waiting unassigned changes cpus machines with_room longest_s machine owners leader")
	for _, r := range rows {
		fmt.Fprintf(&text, "%6.0f %7d %10d %7d %4.0f %8d %9d %9.0f %s %v %s\n", r.elapsed.Seconds(), r.waitingTasks, r.unassignedTasks, r.revision, r.usedCPUs, r.machinesUp, r.freeMachines, r.longestFree.Seconds(), r.longestFreeMachine, r.owners, r.leader)
	}
	if err := os.WriteFile(filepath.Join(to, "census.txt"), []byte(text.String()), 0o600); err != nil {
		t.Error(err)
	}
}
