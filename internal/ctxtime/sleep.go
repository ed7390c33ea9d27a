// Package ctxtime waits for time to pass or for a context to end.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits and reports whether ctx is still live.
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
