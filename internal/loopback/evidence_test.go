package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// saveEvidence saves the samples and the controllers' logs if the test has failed or
// -takeover.keep names a directory, and logs the path of the files.
func (f *fleet) saveEvidence(t *testing.T, samples []sample) {
	t.Helper()
	if !t.Failed() && *evidenceDir == "" {
		return
	}
	dir, err := os.MkdirTemp(*evidenceDir, "ravenport-takeover-")
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("logs and second-by-second table are in %s", dir)
	for _, c := range f.controllers {
		text, err := os.ReadFile(c.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(c.log.Name())), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "samples.txt"), []byte(sampleTable(samples)), 0o600); err != nil {
		t.Error(err)
	}
}

// sampleTable returns a table with one line for each sample.
func sampleTable(samples []sample) string {
	var text strings.Builder
	fmt.Fprintln(&text, "second waiting unassigned changes cpus machines free longest_s machine owners leader")
	for _, s := range samples {
		fmt.Fprintf(&text, "%6.0f %7d %10d %7d %4.0f %8d %4d %9.0f %s %v %s\n",
			s.elapsed.Seconds(), s.waitingTasks, s.unassignedTasks, s.revision, s.usedCPUs, s.machinesUp,
			s.freeMachines, s.longestFree.Seconds(), s.longestFreeMachine, s.owners, s.leader)
	}
	return text.String()
}
