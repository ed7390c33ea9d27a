package logclient

import (
	"context"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// slowReads delays the answers of reads.
type slowReads struct {
	platform.Log
	delay time.Duration
}

func (l *slowReads) Read(ctx context.Context, from uint64, most int) (platform.Page, error) {
	page, err := l.Log.Read(ctx, from, most)
	select {
	case <-time.After(l.delay):
	case <-ctx.Done():
	}
	return page, err
}
