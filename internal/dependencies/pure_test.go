// Package dependencies checks which packages the parts of ravenport depend on.
package dependencies

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// The decision packages are pure: they take state and time and return actions. None of
// them depends on package net, itself or through another package, so that no decision
// can wait for input or output. net/netip, which only parses addresses, is allowed.
func TestDecisionPackagesDoNotDependOnNet(t *testing.T) {
	for _, name := range []string{"member", "failover", "leader", "shard", "detector", "disruption", "drain"} {
		t.Run(name, func(t *testing.T) {
			dependencies := listDependencies(t, "ravenport/"+name)
			if slices.Contains(dependencies, "net") {
				t.Errorf("package %s depends on package net", name)
			}
		})
	}
}

// listDependencies returns the import paths of a package and of all packages that it
// depends on, without those that only its tests need.
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
