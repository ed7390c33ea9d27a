package config

import (
	"strings"
	"testing"
)

// Guards against a bound of cancellations that is not read or applies where no one has set it.
func TestCancelBoundIsOptional(t *testing.T) {
	for setting, want := range map[string]int64{"": 0, "cancel_ms = 0": 0, "cancel_ms = 3000": 3000} {
		s, err := Parse([]byte(strings.Replace(validSettings, "[platform]", "[bounds]\n"+setting+"\n[platform]", 1)))
		if err != nil || s.Bounds.CancelMs != want {
			t.Errorf("%q: bound %d, error %v; want %d", setting, s.Bounds.CancelMs, err, want)
		}
	}
}

// Guards against a bound that applies where no one has set it, and against a process that
// does not start since the bound is set to none.
func TestEvacuationBoundIsOptional(t *testing.T) {
	for setting, want := range map[string]int64{"": 0, "evacuation_ms = 0": 0, "evacuation_ms = 5000": 5000} {
		s, err := Parse([]byte(strings.Replace(validSettings, "[platform]", "[bounds]\n"+setting+"\n[platform]", 1)))
		if err != nil || s.Bounds.EvacuationMs != want {
			t.Errorf("%q: bound %d, error %v; want %d", setting, s.Bounds.EvacuationMs, err, want)
		}
	}
}
