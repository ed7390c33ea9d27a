package node

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

const (
	// desiredMargin is how long before its bounds a desired state counts as out of
	// date, or half of the shorter bound if that is less. It allows for clocks that
	// run at different rates.
	desiredMargin = 200 * time.Millisecond
	// maxDesiredRefreshAge is the greatest age from which the desired state is read
	// again before a call is answered.
	maxDesiredRefreshAge = 1200 * time.Millisecond
)

// maxDesiredAge returns the age up to which calls are decided on a desired state. A
// call that was sent before it is decided then meets every version that was confirmed
// ConfigApplyMs before the call, and no key that was withdrawn RevokeMs before it.
func maxDesiredAge(b config.Bounds) time.Duration {
	bound := config.Millis(min(b.ConfigApplyMs, b.RevokeMs))
	return max(bound-desiredMargin, bound/2)
}

// desiredRefreshAge returns the age from which the desired state is read again before
// a call is answered.
func desiredRefreshAge(b config.Bounds) time.Duration {
	return min(maxDesiredRefreshAge, maxDesiredAge(b)*2/3)
}
