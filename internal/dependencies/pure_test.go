// Package dependencies tests the dependencies between the packages of ravenport.
package dependencies

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// The decision packages are pure: their functions take state and the current time and
// return actions. No decision package may depend on package net, directly or indirectly,
// so that no decision can wait for I/O. They may depend on net/netip, which only parses
// addresses.
func TestDecisionPackagesDoNotDependOnNet(t *testing.T) {
	for _, name := range []string{"member", "failover", "leader", "shard", "detector", "disruption", "drain", "machinetype"} {
		t.Run(name, func(t *testing.T) {
			dependencies := listDependencies(t, "ravenport/"+name)
			if slices.Contains(dependencies, "net") {
				t.Errorf("package %s depends on package net", name)
			}
		})
	}
}

// listDependencies returns the import paths of a package and of its direct and indirect
// dependencies, without the dependencies of its tests.
func listDependencies(t *testing.T, importPath string) []string {
	t.Helper()
	output, err := exec.Command("go", "list", "-deps", importPath).Output()
	if err != nil {
		t.Fatalf("go list -deps %s: %v", importPath, err)
	}
	dependencies := strings.Fields(string(output))
	if !slices.Contains(dependencies, importPath) {
		t.Fatalf("go list -deps %s does not list the package itself: %q", importPath, dependencies)
	}
	return dependencies
}
