package worklog

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Store is the part of the platform's store that the package uses.
type Store interface {
	Append(ctx context.Context, topic string, p platform.Producer, records []platform.Record) (end uint64, err error)
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (platform.Page, error)
	Newest(ctx context.Context, topic, after string) (p platform.Page, more bool, err error)
}
