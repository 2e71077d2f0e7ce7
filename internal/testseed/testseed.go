// Package testseed pins the seed of generated test inputs, so that a test run can be
// repeated. Tests import it for its side effect alone; -rapid.seed on the command line
// overrides it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the value that -rapid.seed has by default.
const seed = "20261"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
