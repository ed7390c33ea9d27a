// Package ctxtime provides waits that end early when a context is done.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It returns true if d has passed, false if
// ctx was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
