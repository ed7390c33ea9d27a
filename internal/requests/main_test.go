package requests

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests unless one is given, and
// fails on goroutines that outlive the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	// go-zero starts these two when its packages are loaded.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
