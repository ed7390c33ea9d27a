package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	maxBody    = 256 << 20
	maxControl = 64 << 10
)

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == platform.StatusPath:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(r.Status())
	case len(req.URL.Path) > len(ControlPath) && req.URL.Path[:len(ControlPath)] == ControlPath:
		r.control(w, req)
	default:
		r.run(w, req)
	}
}

func (r *Runner) control(w http.ResponseWriter, req *http.Request) {
	switch path.Base(req.URL.Path) {
	case "leaving":
		r.SetLeaving(true)
	case "silent":
		r.SilenceConnections()
	case "fault":
		var f Fault
		if err := json.NewDecoder(io.LimitReader(req.Body, maxControl)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFault(f)
	default:
		http.NotFound(w, req)
	}
}

// take takes a slot; ok is false if there is none.
func (r *Runner) take(id string) (f Fault, gate chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken >= Slots {
		return f, nil, false
	}
	r.taken++
	r.inFlight[id]++
	f = r.fault
	if f.Times > 0 {
		if r.left == 0 {
			f = Fault{}
		} else {
			r.left--
		}
	}
	r.record.mu.Lock()
	r.record.highest = max(r.record.highest, r.taken)
	r.record.mu.Unlock()
	return f, r.gate, true
}

func (r *Runner) free(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken--
	if r.inFlight[id]--; r.inFlight[id] == 0 {
		delete(r.inFlight, id)
	}
}

func (r *Runner) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(platform.HeaderRequestID)
	f, gate, ok := r.take(id)
	if !ok {
		r.record.mu.Lock()
		r.record.refused++
		r.record.mu.Unlock()
		w.Header().Set(verdict.Header, verdict.DidNotRun.String())
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer r.free(id)
	if f.CloseBefore {
		closeConnection(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		return
	}
	// The request counts as executed from here, also if its caller goes away.
	r.record.executed(id)
	select {
	case r.arrived <- id:
	default:
	}
	r.wait(f, gate)
	r.answer(w, req, f, id, body)
}

func (r *Runner) wait(f Fault, gate chan struct{}) {
	if gate != nil {
		select {
		case <-gate:
		case <-r.closing:
		}
	}
	if f.Slow > 0 {
		timer := time.NewTimer(f.Slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.closing:
		}
	}
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, f Fault, id string, body []byte) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set(platform.HeaderLeaving, "true")
	}
	whole := Answer(id, req.Method, req.URL.RequestURI(), body)
	switch {
	case f.Fail:
		http.Error(w, "failed "+id, http.StatusInternalServerError)
	case f.Verdict != "":
		w.Header().Set(verdict.Header, f.Verdict)
		http.Error(w, "verdict "+f.Verdict, http.StatusServiceUnavailable)
	case f.CloseAfter:
		closeConnection(w)
	case f.Unframed:
		r.unframed(w, whole)
	case f.Truncate, f.Stall:
		if !f.Chunked {
			w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		}
		w.Write(whole[:len(whole)/2])
		http.NewResponseController(w).Flush()
		if f.Stall {
			select {
			case <-req.Context().Done():
			case <-r.closing:
			}
		}
		closeConnection(w)
	default:
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		w.Write(whole)
	}
}

// Answer returns the body with which a runner answers a request, so that a
// caller can check that an answer is whole and its own.
func Answer(id, method, uri string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %s %s\n", id, method, uri), body...)
}

func (r *Runner) unframed(w http.ResponseWriter, whole []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", whole)
}

func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}
