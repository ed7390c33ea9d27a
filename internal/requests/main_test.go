package requests

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/rapidseed"
)

// TestMain fixes the seed of the property tests unless one is given, and
// fails on goroutines that outlive the tests.
func TestMain(m *testing.M) {
	rapidseed.SetSeed(1)
	// go-zero starts two goroutines when its packages are initialized.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
