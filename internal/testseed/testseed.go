// Package testseed sets a fixed default seed for generated test inputs, so that test runs
// are reproducible. Tests import the package only for this side effect. The flag
// -rapid.seed on the command line overrides the seed.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the default value of the flag -rapid.seed.
const seed = "20261"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
