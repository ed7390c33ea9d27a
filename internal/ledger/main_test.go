package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run has the same
// verdict. The flag -rapid.seed gives another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
