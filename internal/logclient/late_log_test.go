package logclient

import (
	"context"
	"errors"
	"sync"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// errLate is the error of an append that arrives later.
var errLate = errors.New("no answer in time")

// lateLog is a network that lets some appends fail for the sender and arrive
// later. Zero in seconds stands for an append that is not disturbed.
type lateLog struct {
	platform.Log
	seconds []int
	pending sync.WaitGroup

	mu   sync.Mutex
	next int
}

func (l *lateLog) Append(ctx context.Context, payload []byte) (uint64, error) {
	l.mu.Lock()
	delay := 0
	if l.next < len(l.seconds) {
		delay = l.seconds[l.next]
	}
	l.next++
	l.mu.Unlock()
	if delay == 0 {
		return l.Log.Append(ctx, payload)
	}
	l.pending.Go(func() {
		time.Sleep(time.Duration(delay) * time.Second)
		late, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, _ = l.Log.Append(late, payload) // Nobody gets the answer.
	})
	return 0, errLate
}
