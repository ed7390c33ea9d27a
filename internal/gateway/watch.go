package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// watch streams the events of a job as JSON lines from the query parameter
// position on. The status is 200 once the stream has begun; what ends it
// before the last event is its last line.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, c Caller) {
	id, p := jobID(r)
	position := uint64(0)
	if text := r.URL.Query().Get("position"); p == nil && text != "" {
		var err error
		if position, err = strconv.ParseUint(text, 10, 64); err != nil {
			p = badField("position", text, "a whole number")
		}
	}
	var leave func()
	if p == nil {
		leave, p = s.enter()
	}
	if p != nil {
		s.fail(w, p)
		return
	}
	defer leave()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stream := &lineWriter{w: w, control: http.NewResponseController(w)}
	var group sync.WaitGroup
	group.Go(func() { s.keepAlive(ctx, cancel, stream) })
	err := s.backend.Watch(ctx, c, id, position, func(e JobEvent) error { return stream.line(WatchLine{Event: &e}) })
	cancel()
	group.Wait()
	s.endWatch(w, r, stream, err)
}

// keepAlive writes heartbeats, and ends the watch when the server stops or
// the watcher does not read.
func (s *Server) keepAlive(ctx context.Context, cancel func(), stream *lineWriter) {
	ticker := time.NewTicker(s.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopping:
			cancel()
			return
		case <-ticker.C:
			if stream.line(WatchLine{Heartbeat: true}) != nil {
				cancel()
				return
			}
		}
	}
}

func (s *Server) endWatch(w http.ResponseWriter, r *http.Request, stream *lineWriter, err error) {
	select {
	case <-s.stopping:
		if err != nil {
			s.endWith(w, stream, refusal(CodeDraining, "the entry node stops; resume at the next position elsewhere"))
			return
		}
	default:
	}
	switch {
	case r.Context().Err() != nil || stream.failed:
	case err != nil:
		s.endWith(w, stream, problemOf(err))
	case !stream.begun:
		stream.begin()
	}
}

func (s *Server) endWith(w http.ResponseWriter, stream *lineWriter, p *Problem) {
	if !stream.begun {
		s.fail(w, p)
		return
	}
	if err := stream.line(WatchLine{Error: p}); err != nil {
		s.log.Debug("End of a watch was not delivered.", "error", err)
	}
}

// lineWriter writes JSON lines and flushes each.
type lineWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
	failed  bool
}

func (l *lineWriter) begin() {
	h := l.w.Header()
	h.Set("Content-Type", "application/jsonl")
	h.Set("Cache-Control", "no-store")
	h.Set(verdict.Header, verdict.DidRun.String())
	l.w.WriteHeader(http.StatusOK)
	l.begun = true
}

// line is bounded by writeTimeout, so the lock is held for that long at most.
func (l *lineWriter) line(line WatchLine) error {
	data, err := json.Marshal(line)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.begun {
		l.begin()
	}
	// A writer without deadlines, as in tests, is used without one.
	_ = l.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err = l.w.Write(append(data, '\n')); err == nil {
		err = l.control.Flush()
	}
	l.failed = err != nil
	return err
}
