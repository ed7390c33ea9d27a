package users

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Host is a worker host: it refuses lower fencing tokens, ends its runs when
// its lease is over on its own clock, and lists ends until they are acknowledged.
type Host struct {
	ID     string
	server *httptest.Server
	begun  time.Time
	// Work is how long a run works.
	work time.Duration

	mu       sync.Mutex
	token    int64
	until    int64
	runs     map[string]*run
	ended    []end
	count    int64
	changed  chan struct{}
	history  []Started
	highest  map[string]int64
	closing  chan struct{}
	silenced bool
	// late is how long after its arrival a start is carried out, without an answer.
	late time.Duration
}

type run struct {
	task   string
	number int64
	timer  *time.Timer
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// Started is one run that the host has begun.
type Started struct {
	Task string
	Run  int64
	At   time.Time
	// Ended is when the run ended and how; zero while it is present.
	Ended time.Time
	How   string
	// Noted is when the end was acknowledged.
	Noted time.Time
}

// NewHost returns a host that serves on loopback and registers itself in a store.
func NewHost(id string, work time.Duration, s *Store) *Host {
	h := &Host{ID: id, begun: time.Now(), work: work, runs: make(map[string]*run), changed: make(chan struct{}),
		highest: make(map[string]int64), closing: make(chan struct{})}
	h.server = httptest.NewServer(http.HandlerFunc(h.serve))
	s.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready",`+
		`"coldRemainingMs":0,"capacity":{"cpu":4000,"memMb":8192,"gpu":0},"labels":["a","r1-1"],"clockMs":0,"seq":1,"born":%d}`,
		h.server.Listener.Addr().String(), h.begun.UnixMilli()))
	return h
}

// Close ends the host and everything that runs there.
func (h *Host) Close() {
	close(h.closing)
	h.server.CloseClientConnections()
	h.server.Close()
}

// Silence keeps the host from answering; runs go on until the lease is over.
func (h *Host) Silence(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silenced = on
}

// Delay carries starts out after a time and leaves them without an answer; zero
// ends that.
func (h *Host) Delay(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = d
}

// History returns every run that the host has begun.
func (h *Host) History() []Started {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Started(nil), h.history...)
}

func (h *Host) clock() int64 { return time.Since(h.begun).Milliseconds() }

type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	if h.silenced {
		h.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-h.closing:
		}
		return
	}
	if late := h.late; late > 0 && r.URL.Path == "/run-start" {
		h.mu.Unlock()
		time.AfterFunc(late, func() { h.startLate(o) })
		select {
		case <-r.Context().Done():
		case <-h.closing:
		}
		return
	}
	h.lapse()
	if o.FencingToken < h.token {
		h.mu.Unlock()
		h.refuse(w, "fence")
		return
	}
	h.token = o.FencingToken
	h.until = max(h.until, o.UntilMs)
	switch r.URL.Path {
	case "/run-start":
		reason := h.start(o)
		h.mu.Unlock()
		if reason != "" {
			h.refuse(w, reason)
			return
		}
		fmt.Fprintf(w, `{"clockMs":%d}`, h.clock())
	case "/run-stop":
		h.highest[o.Task] = max(h.highest[o.Task], o.Run)
		if x := h.runs[o.Task]; x != nil && x.number <= o.Run {
			h.end(x, "stopped")
		}
		h.mu.Unlock()
		fmt.Fprintf(w, `{"clockMs":%d}`, h.clock())
	case "/hold":
		h.mu.Unlock()
		h.hold(w, r, o)
	default:
		h.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *Host) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, h.clock(), reason)
}

// lapse ends everything once the lease is over.
func (h *Host) lapse() {
	if h.clock() < h.until {
		return
	}
	for _, x := range h.runs {
		h.end(x, "lapsed")
	}
}

func (h *Host) start(o order) (refusal string) {
	x := h.runs[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		return ""
	case o.Run <= h.highest[o.Task]:
		return "old"
	case o.UntilMs < h.clock():
		return "late"
	}
	x = &run{task: o.Task, number: o.Run}
	h.runs[o.Task] = x
	h.history = append(h.history, Started{Task: o.Task, Run: o.Run, At: time.Now()})
	x.timer = time.AfterFunc(h.work, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lapse()
		if h.runs[o.Task] == x {
			h.end(x, "done")
		}
	})
	return ""
}

// startLate carries out a start that was held up.
func (h *Host) startLate(o order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lapse()
	if o.FencingToken < h.token {
		return
	}
	h.token = o.FencingToken
	h.until = max(h.until, o.UntilMs)
	h.start(o) // a refusal reaches nobody
}

func (h *Host) end(x *run, how string) {
	x.timer.Stop()
	delete(h.runs, x.task)
	h.highest[x.task] = max(h.highest[x.task], x.number)
	h.count++
	h.ended = append(h.ended, end{h.count, x.task, x.number, how})
	for i := range h.history {
		if h.history[i].Task == x.task && h.history[i].Run == x.number {
			h.history[i].Ended, h.history[i].How = time.Now(), how
		}
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// note records that an end was acknowledged.
func (h *Host) note(e end) {
	for i := range h.history {
		if h.history[i].Task == e.task && h.history[i].Run == e.run {
			h.history[i].Noted = time.Now()
		}
	}
}

func (h *Host) hold(w http.ResponseWriter, r *http.Request, o order) {
	h.mu.Lock()
	for len(h.ended) > 0 && h.ended[0].number <= o.AckCursor {
		h.note(h.ended[0])
		h.ended = h.ended[1:]
	}
	changed, wait := h.changed, o.WaitMs > 0 && len(h.ended) == 0
	h.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		case <-h.closing:
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, x := range h.runs {
		running = append(running, []any{x.task, x.number, "", 100, 500})
	}
	for _, e := range h.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // a caller that has left needs no answer
		"clockMs": h.clock(), "born": h.begun.UnixMilli(), "running": running, "ended": ended,
	})
}
