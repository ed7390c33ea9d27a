package worklog

import (
	"context"
	"sync"
)

// endReads shares reads of a topic's end between callers: a caller gets the result
// of a read that was sent after its call, and only one read is in flight. Without
// it a slow store would hold one connection for each caller.
type endReads struct {
	read func(ctx context.Context) (end uint64, err error)

	mu sync.Mutex
	// next is the read that is sent when the one in flight ends; nil if nobody waits
	// for it.
	next    *endRead
	running bool
}

// endRead is one read. Its fields may be used once done is closed.
type endRead struct {
	done chan struct{}
	end  uint64
	err  error
}

// wait returns the end of the topic at some time after the call.
func (e *endReads) wait(ctx context.Context) (uint64, error) {
	e.mu.Lock()
	if e.next == nil {
		e.next = &endRead{done: make(chan struct{})}
	}
	r := e.next
	if !e.running {
		e.running = true
		go e.run()
	}
	e.mu.Unlock()
	select {
	case <-r.done:
		return r.end, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run sends reads until nobody waits for one.
func (e *endReads) run() {
	for {
		e.mu.Lock()
		r := e.next
		e.next = nil
		e.running = r != nil
		e.mu.Unlock()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), backlogReadTimeout)
		r.end, r.err = e.read(ctx)
		cancel()
		close(r.done)
	}
}
