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
	maxBodyBytes        = 256 << 20
	maxControlBodyBytes = 64 << 10
)

// ServeHTTP implements http.Handler. It serves the status path, the control paths
// and, at every other path, requests to execute.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == platform.StatusPath:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(r.Status())
	case len(req.URL.Path) > len(ControlPath) && req.URL.Path[:len(ControlPath)] == ControlPath:
		r.serveControl(w, req)
	default:
		r.serveRequest(w, req)
	}
}

func (r *Runner) serveControl(w http.ResponseWriter, req *http.Request) {
	switch path.Base(req.URL.Path) {
	case "leaving":
		r.SetLeaving(true)
	case "silent":
		r.BlackholeConnections()
	case "fault":
		var f Fault
		if err := json.NewDecoder(io.LimitReader(req.Body, maxControlBodyBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFault(f)
	default:
		http.NotFound(w, req)
	}
}

// acquireSlot takes a slot for a request and returns the fault and the gate that
// apply to it; ok is false if no slot is free.
func (r *Runner) acquireSlot(id string) (f Fault, gate chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usedSlots >= Slots {
		return f, nil, false
	}
	r.usedSlots++
	r.inFlight[id]++
	f = r.fault
	if f.Times > 0 {
		if r.faultUsesLeft == 0 {
			f = Fault{}
		} else {
			r.faultUsesLeft--
		}
	}
	r.stats.mu.Lock()
	r.stats.peakSlots = max(r.stats.peakSlots, r.usedSlots)
	r.stats.mu.Unlock()
	return f, r.holdGate, true
}

func (r *Runner) releaseSlot(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedSlots--
	if r.inFlight[id]--; r.inFlight[id] == 0 {
		delete(r.inFlight, id)
	}
}

func (r *Runner) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(platform.HeaderRequestID)
	f, gate, ok := r.acquireSlot(id)
	if !ok {
		r.stats.mu.Lock()
		r.stats.refused++
		r.stats.mu.Unlock()
		w.Header().Set(verdict.Header, verdict.DidNotRun.String())
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot(id)
	if f.CloseBefore {
		closeConnection(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	// The request counts as executed from here on, even if its client disconnects.
	r.stats.countExecution(id)
	select {
	case r.started <- id:
	default:
	}
	r.delayExecution(f, gate)
	r.respond(w, req, f, id, body)
}

// delayExecution waits until the gate opens and then for the delay of the fault.
func (r *Runner) delayExecution(f Fault, gate chan struct{}) {
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

func (r *Runner) respond(w http.ResponseWriter, req *http.Request, f Fault, id string, body []byte) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set(platform.HeaderLeaving, "true")
	}
	full := Answer(id, req.Method, req.URL.RequestURI(), body)
	switch {
	case f.Fail:
		http.Error(w, "failed "+id, http.StatusInternalServerError)
	case f.Verdict != "":
		w.Header().Set(verdict.Header, f.Verdict)
		http.Error(w, "verdict "+f.Verdict, http.StatusServiceUnavailable)
	case f.CloseAfter:
		closeConnection(w)
	case f.Unframed:
		r.respondUnframed(w, full)
	case f.Truncate, f.Stall:
		if !f.Chunked {
			w.Header().Set("Content-Length", strconv.Itoa(len(full)))
		}
		w.Write(full[:len(full)/2])
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
		w.Header().Set("Content-Length", strconv.Itoa(len(full)))
		w.Write(full)
	}
}

// Answer returns the response body of a runner for a request, so that a client can
// check that a response is complete and belongs to its request.
func Answer(id, method, uri string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %s %s\n", id, method, uri), body...)
}

// respondUnframed writes a response whose end is marked only by the end of its
// connection.
func (r *Runner) respondUnframed(w http.ResponseWriter, full []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", full)
}

// closeConnection closes the connection of a request without a further response.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}
