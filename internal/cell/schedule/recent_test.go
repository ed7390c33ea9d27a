package schedule

import "testing"

// Guards against a record that grows without bound, or that drops its newest entries.
func TestRecentDropsTheOldestEntries(t *testing.T) {
	r := newRecent[int, string](3)
	for key := range 5 {
		r.set(key, "first")
	}
	r.set(4, "second")
	for key, want := range []string{"", "", "first", "first", "second"} {
		if got, _ := r.get(key); got != want {
			t.Errorf("entry %d is %q, want %q", key, got, want)
		}
	}
	if len(r.entries) != 3 || len(r.keys) != 3 {
		t.Errorf("%d entries and %d keys are held, want 3", len(r.entries), len(r.keys))
	}
}
