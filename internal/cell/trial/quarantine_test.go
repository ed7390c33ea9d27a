package trial

import (
	"testing"
	"time"
)

// fakeQuarantine is a host in a given state.
type fakeQuarantine struct {
	begun, gone, cleared, wanted, awaits bool
	useBy                                time.Duration
}

func (f fakeQuarantine) Begun() bool          { return f.begun }
func (f fakeQuarantine) Gone() bool           { return f.gone }
func (f fakeQuarantine) Cleared() bool        { return f.cleared }
func (f fakeQuarantine) Wanted() bool         { return f.wanted }
func (f fakeQuarantine) AwaitsAdvice() bool   { return f.awaits }
func (f fakeQuarantine) UseBy() time.Duration { return f.useBy }

// Guards against a host that stays without work after its trial, or for work that does not use
// it, and against a trial that other work joins.
func TestStepsOfAQuarantine(t *testing.T) {
	now := time.Minute
	for name, c := range map[string]struct {
		q    fakeQuarantine
		want Step
	}{
		"the trial goes on, not wanted": {fakeQuarantine{begun: true}, Keep},
		"its run is gone":               {fakeQuarantine{begun: true, gone: true, cleared: true, wanted: true}, End},
		"it has cleared its task":       {fakeQuarantine{begun: true, cleared: true}, Clear},
		"not begun, not wanted":         {fakeQuarantine{gone: true, awaits: true}, Release},
		"not begun, awaits advice":      {fakeQuarantine{gone: true, wanted: true, awaits: true}, Extend},
		"not begun in time":             {fakeQuarantine{gone: true, wanted: true, useBy: now - 1}, GiveBack},
		"may begin still":               {fakeQuarantine{gone: true, wanted: true, useBy: now}, Keep},
	} {
		if got := Next(c.q, now); got != c.want {
			t.Errorf("%s: step %d, want %d", name, got, c.want)
		}
	}
}
