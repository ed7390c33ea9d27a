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
	// maxSilence ends a stream that sends neither events nor heartbeats; the
	// gateway sends a heartbeat every 10 s.
	maxSilence = 35 * time.Second
	// resumePause bounds the rate of resumptions.
	resumePause = time.Second
)

// Watch calls event for each event of a job from a position on. It resumes a
// broken stream at the next entry, and returns nil after the last event.
func (c *Client) Watch(ctx context.Context, id string, position uint64, event func(gateway.JobEvent) error) error {
	entries := c.order()
	failures := 0
	for i := 0; ; i++ {
		before := position
		ended, err := c.watchOnce(ctx, entries[i%len(entries)], id, &position, event)
		if ended || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		var failed *verdict.Error
		if !errors.As(err, &failed) || !mayTryNext(failed, true) {
			return err
		}
		failures++
		if position > before {
			failures = 0
		}
		if failures >= 2*len(entries) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resumePause):
		}
	}
}

// watchOnce reads one stream. ended is true if nothing follows.
func (c *Client) watchOnce(ctx context.Context, entry, id string, position *uint64, event func(gateway.JobEvent) error) (ended bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(maxSilence, cancel)
	defer silence.Stop()
	path := fmt.Sprintf("%s/watch?position=%d", jobPath(id), *position)
	resp, failed := c.send(ctx, entry, operation{method: http.MethodGet, path: path, read: true, stream: true}, nil)
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
		silence.Reset(maxSilence)
		var line gateway.WatchLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return false, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeAnswer)
		}
		if p := line.Error; p != nil {
			status := gateway.StatusOf(p.Code, p.Verdict)
			return false, verdict.Wrap(&RemoteError{entry, status, *p}, p.Verdict, p.Code)
		}
		// A resumed stream may repeat an event.
		if line.Event == nil || line.Event.Position < *position {
			continue
		}
		if err := event(*line.Event); err != nil {
			return true, err
		}
		*position = line.Event.Position + 1
		if line.Event.End {
			return true, nil
		}
	}
	return false, verdict.Wrap(fmt.Errorf("%s: the stream ended early: %w", entry, errors.Join(lines.Err(), ctx.Err())), verdict.MayHaveRun, CodeConnection)
}
