// Package testseed pins the seed of generated test inputs, so that a run of
// the tests can be repeated. Tests import it for its effect alone;
// -rapid.seed on the command line overrides it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261"); err != nil {
		panic(err)
	}
}
