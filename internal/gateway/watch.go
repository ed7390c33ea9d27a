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

// watch streams the known outcomes of a job and then each new one as JSON lines.
// The query parameter position does not select events; it is a lower bound of
// the positions in the stream. Once the stream has begun, the status is 200; an
// error that ends it before the last event is reported in the last line.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, c Caller) {
	id, p := jobID(r)
	position := uint64(0)
	if text := r.URL.Query().Get("position"); p == nil && text != "" {
		var err error
		if position, err = strconv.ParseUint(text, 10, 64); err != nil {
			p = invalidField("position", text, "a whole number")
		}
	}
	var release func()
	if p == nil {
		release, p = s.acquireStream()
	}
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	defer release()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stream := &lineWriter{w: w, control: http.NewResponseController(w)}
	var group sync.WaitGroup
	group.Go(func() { s.sendHeartbeats(ctx, cancel, stream) })
	err := s.backend.Watch(ctx, c, id, position, func(e JobEvent) error { return stream.writeLine(WatchLine{Event: &e}) })
	cancel()
	group.Wait()
	s.finishWatch(w, r, stream, err)
}

// sendHeartbeats writes heartbeats, and cancels the watch when the server shuts
// down or a write fails, for example because the watcher does not read.
func (s *Server) sendHeartbeats(ctx context.Context, cancel func(), stream *lineWriter) {
	ticker := time.NewTicker(s.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopping:
			cancel()
			return
		case <-ticker.C:
			if stream.writeLine(WatchLine{Heartbeat: true}) != nil {
				cancel()
				return
			}
		}
	}
}

func (s *Server) finishWatch(w http.ResponseWriter, r *http.Request, stream *lineWriter, err error) {
	select {
	case <-s.stopping:
		if err != nil {
			s.writeFinalLine(w, stream, refusal(CodeDraining, "the entry node is shutting down; resume the watch at the next position on another entry node"))
			return
		}
	default:
	}
	switch {
	case r.Context().Err() != nil || stream.writeFailed:
	case err != nil:
		s.writeFinalLine(w, stream, problemOf(err))
	case !stream.headerWritten:
		stream.writeHeader()
	}
}

func (s *Server) writeFinalLine(w http.ResponseWriter, stream *lineWriter, p *Problem) {
	if !stream.headerWritten {
		s.writeProblem(w, p)
		return
	}
	if err := stream.writeLine(WatchLine{Error: p}); err != nil {
		s.log.Debug("Writing the last line of a watch failed.", "error", err)
	}
}

// lineWriter writes JSON lines and flushes after each.
type lineWriter struct {
	mu            sync.Mutex
	w             http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
	writeFailed   bool
}

func (l *lineWriter) writeHeader() {
	h := l.w.Header()
	h.Set("Content-Type", "application/jsonl")
	h.Set("Cache-Control", "no-store")
	h.Set(verdict.Header, verdict.DidRun.String())
	l.w.WriteHeader(http.StatusOK)
	l.headerWritten = true
}

// writeLine blocks for at most watchWriteTimeout, which also bounds how long the
// lock is held.
func (l *lineWriter) writeLine(line WatchLine) error {
	data, err := json.Marshal(line)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.headerWritten {
		l.writeHeader()
	}
	// A ResponseWriter that does not support deadlines, as in tests, has none.
	_ = l.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if _, err = l.w.Write(append(data, '\n')); err == nil {
		err = l.control.Flush()
	}
	l.writeFailed = err != nil
	return err
}
