package peer

import (
	"context"
	"sync/atomic"
)

// sentFlag is true once gRPC has created a stream for a call, after which parts
// of the call may have been sent.
type sentFlag struct{ atomic.Bool }

type sentKey struct{}

func withSent(ctx context.Context) (context.Context, *sentFlag) {
	f := new(sentFlag)
	return context.WithValue(ctx, sentKey{}, f), f
}

func markSent(ctx context.Context) {
	if f, ok := ctx.Value(sentKey{}).(*sentFlag); ok {
		f.Store(true)
	}
}
