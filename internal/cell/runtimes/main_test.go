package runtimes

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 1) }
