package apiserver

import (
	"testing"

	"ravenport/machinetype"
	"ravenport/settings"
	"ravenport/wire"
)

// A job was accepted although the cloud offers the only machine type that it allows in no zone of
// the deployment, so that the job could never run.
func TestJobNeedsTypeInZoneOfDeployment(t *testing.T) {
	s := &Server{settings: &settings.Settings{}}
	s.settings.Deployment.Zones = []string{"a", "b"}
	s.settings.Deployment.Teams = []settings.Team{{Name: "t"}}
	s.machineTypes = machinetype.NewSet([]wire.MachineType{
		{Name: "here", CPUs: 8, MemoryGB: 32, Zones: []string{"b", "elsewhere"}},
		{Name: "away", CPUs: 64, MemoryGB: 256, Zones: []string{"elsewhere"}},
		{Name: "anywhere", CPUs: 2, MemoryGB: 8},
	})
	for _, c := range []struct {
		name       string
		submission wire.Submission
		feasible   bool
	}{
		{"any type", wire.Submission{CPUs: 8}, true},
		{"type of a zone of the deployment", wire.Submission{CPUs: 8, Types: []string{"here"}}, true},
		{"type of another zone", wire.Submission{CPUs: 8, Types: []string{"away"}}, false},
		{"fits a type of another zone only", wire.Submission{CPUs: 9}, false},
		{"type that the zone does not offer", wire.Submission{CPUs: 4, Zone: "a", Types: []string{"here"}}, false},
		{"type without a list of zones", wire.Submission{CPUs: 1, Zone: "a", Types: []string{"anywhere"}}, true},
		{"spread service, type of one zone", wire.Submission{CPUs: 1, Tasks: 4, Kind: wire.KindService, Spread: true, Types: []string{"here"}}, false},
		{"spread array, type of one zone", wire.Submission{CPUs: 1, Tasks: 4, Kind: wire.KindArray, Spread: true, Types: []string{"here"}}, true},
	} {
		c.submission.Team = "t"
		if reason := s.infeasible(&c.submission); (reason == "") != c.feasible {
			t.Errorf("%s: reason %q, feasible %v", c.name, reason, c.feasible)
		}
	}
}
