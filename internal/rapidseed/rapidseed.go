// Package rapidseed fixes the seed of property tests, so that every run of a test
// has the same result. It must be used by tests only.
package rapidseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// SetSeed sets the seed unless -rapid.seed is given, and keeps rapid from
// writing fail files into the source tree unless -rapid.nofailfile is given.
func SetSeed(seed uint64) {
	flag.Parse()
	flagValues := map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(flagValues, f.Name) })
	for name, value := range flagValues {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Main runs the tests of a package with the given seed and exits the process.
func Main(m *testing.M, seed uint64) {
	SetSeed(seed)
	os.Exit(m.Run())
}
