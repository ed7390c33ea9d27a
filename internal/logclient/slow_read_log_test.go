package logclient

import (
	"context"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// slowReadLog delays the response to each read.
type slowReadLog struct {
	platform.Log
	delay time.Duration
}

func (l *slowReadLog) Read(ctx context.Context, from uint64, limit int) (platform.Page, error) {
	page, err := l.Log.Read(ctx, from, limit)
	select {
	case <-time.After(l.delay):
	case <-ctx.Done():
	}
	return page, err
}
