package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

// Guards against a desired state that counts as fresh for longer than a confirmed
// version, or the withdrawal of a key, may take to be in force.
func TestDesiredStateIsNotFreshBeyondItsBounds(t *testing.T) {
	for _, b := range []config.Bounds{
		{ConfigApplyMs: 2000, RevokeMs: 5000}, {ConfigApplyMs: 3000, RevokeMs: 5000},
		{ConfigApplyMs: 13_000, RevokeMs: 5000}, {ConfigApplyMs: 200, RevokeMs: 200},
	} {
		bound := config.Millis(min(b.ConfigApplyMs, b.RevokeMs))
		if got := maxDesiredAge(b); got <= 0 || got >= bound {
			t.Errorf("%+v: a state counts as fresh for %s, want more than 0 and less than %s", b, got, bound)
		}
		if refresh := desiredRefreshAge(b); refresh <= 0 || refresh >= maxDesiredAge(b) || refresh > 1200*time.Millisecond {
			t.Errorf("%+v: a state is read again from an age of %s, want less than %s", b, refresh, maxDesiredAge(b))
		}
	}
}
