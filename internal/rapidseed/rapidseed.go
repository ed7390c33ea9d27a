// Package rapidseed fixes the seed of property tests, so that every run of a
// test has the same verdict. It is used by tests only.
package rapidseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Fix sets the seed unless -rapid.seed gives one, and keeps failures from being
// written into the source tree.
func Fix(seed uint64) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Main runs the tests of a package under a seed and ends the process.
func Main(m *testing.M, seed uint64) {
	Fix(seed)
	os.Exit(m.Run())
}
