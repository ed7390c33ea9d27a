package objects

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the
// same verdict; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
