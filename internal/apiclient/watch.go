package apiclient

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	maxLineBytes = 1 << 20
	// streamIdleTimeout ends a stream that sends neither events nor heartbeats;
	// the gateway sends a heartbeat every 10 s.
	streamIdleTimeout = 35 * time.Second
	// resumeDelay is the wait before a broken stream is resumed; it bounds the
	// rate of attempts.
	resumeDelay = time.Second
)

// Watch calls handle for each event of a job, starting at a position. It resumes
// a broken stream at the next entry, and returns nil after the last event. It
// gives up after two attempts per entry without a new event.
func (c *Client) Watch(ctx context.Context, id string, position uint64, handle func(gateway.JobEvent) error) error {
	entries := c.entryOrder()
	failures := 0
	for i := 0; ; i++ {
		previous := position
		ended, err := c.watchOnce(ctx, entries[i%len(entries)], id, &position, handle)
		if ended || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		var failed *verdict.Error
		if !errors.As(err, &failed) || !mayTryNext(failed, true) {
			return err
		}
		failures++
		if position > previous {
			failures = 0
		}
		if failures >= 2*len(entries) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resumeDelay):
		}
	}
}

// watchOnce reads one stream and advances position past each handled event. ended
// is true if the watch is over: after the last event or an error of handle.
func (c *Client) watchOnce(ctx context.Context, entry, id string, position *uint64, handle func(gateway.JobEvent) error) (ended bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(streamIdleTimeout, cancel)
	defer idleTimer.Stop()
	path := fmt.Sprintf("%s/watch?position=%d", jobPath(id), *position)
	resp, failed := c.send(ctx, entry, operation{method: http.MethodGet, path: path, readOnly: true, stream: true}, nil)
	if failed != nil {
		return false, failed
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if _, failed = readAnswer(entry, resp); failed != nil {
			return false, failed
		}
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		idleTimer.Reset(streamIdleTimeout)
		var line gateway.WatchLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return false, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeBadAnswer)
		}
		if p := line.Error; p != nil {
			status := gateway.HTTPStatusOf(p.Code, p.Verdict)
			return false, verdict.Wrap(&RemoteError{entry, status, *p}, p.Verdict, p.Code)
		}
		// Events may repeat after a stream is resumed.
		if line.Event == nil || line.Event.Position < *position {
			continue
		}
		if err := handle(*line.Event); err != nil {
			return true, err
		}
		*position = line.Event.Position + 1
		if line.Event.End {
			return true, nil
		}
	}
	return false, verdict.Wrap(fmt.Errorf("%s: the stream ended early: %w", entry, errors.Join(lines.Err(), ctx.Err())), verdict.MayHaveRun, CodeConnection)
}
