package logclient

import (
	"context"
	"errors"
	"sync"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// errAppendDelayed is the error of an append that reaches the log later.
var errAppendDelayed = errors.New("no answer in time")

// delayedLog simulates a network on which some appends fail for the sender but reach
// the log later. The n-th append is delayed by the n-th entry of delaySeconds; one
// with delay zero or without an entry is passed on at once.
type delayedLog struct {
	platform.Log
	delaySeconds []int
	pending      sync.WaitGroup

	mu   sync.Mutex
	next int
}

func (l *delayedLog) Append(ctx context.Context, payload []byte) (uint64, error) {
	l.mu.Lock()
	delay := 0
	if l.next < len(l.delaySeconds) {
		delay = l.delaySeconds[l.next]
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
		_, _ = l.Log.Append(late, payload) // The sender has its error already.
	})
	return 0, errAppendDelayed
}
