package users

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// Host simulates a worker host. It refuses lower fencing tokens, ends its runs
// when its lease expires by its own clock, and lists ended runs until they are
// acknowledged.
type Host struct {
	ID     string
	server *httptest.Server
	store  *Store
	// runDuration is how long a run takes.
	runDuration time.Duration
	// startedAt is when the present instance started.
	startedAt atomic.Pointer[time.Time]

	mu           sync.Mutex
	highestToken int64
	leaseEndMs   int64
	runs         map[string]*run
	unackedEnds  []runEnd
	endCount     int64
	changed      chan struct{}
	history      []RunRecord
	highestRun   map[string]int64
	closing      chan struct{}
	unresponsive bool
	// startDelay is the time after which a received start is executed, without a
	// response; zero means no delay.
	startDelay time.Duration
	// zone is the availability zone in the entry of the host.
	zone atomic.Pointer[string]
}

type run struct {
	task   string
	number int64
	timer  *time.Timer
}

type runEnd struct {
	number  int64
	task    string
	run     int64
	outcome string
}

// RunRecord is the record of one run that the host has started.
type RunRecord struct {
	Task      string
	Run       int64
	StartedAt time.Time
	// EndedAt is the time at which the run ended, and Outcome its outcome; both are
	// zero while it runs.
	EndedAt time.Time
	Outcome string
	// AckedAt is the time at which the end was acknowledged.
	AckedAt time.Time
}

// NewHost starts a host on the loopback interface and registers it in a store. Each
// of its runs takes runDuration.
func NewHost(id string, runDuration time.Duration, s *Store) *Host {
	h := &Host{ID: id, store: s, runDuration: runDuration, runs: make(map[string]*run), changed: make(chan struct{}),
		highestRun: make(map[string]int64), closing: make(chan struct{})}
	zone := "z"
	h.zone.Store(&zone)
	h.server = httptest.NewServer(http.HandlerFunc(h.serve))
	h.begin()
	return h
}

// begin begins a new instance of the host and writes its entry to the host list.
func (h *Host) begin() {
	now := time.Now()
	h.startedAt.Store(&now)
	h.Register(h.store)
}

// Register writes the entry of the host to a store.
func (h *Host) Register(s *Store) {
	s.Put("keyed.servers", h.ID, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready",`+
		`"coldRemainingMs":0,"capacity":{"cpu":4000,"memMb":8192,"gpu":0},"labels":["a","r1-1"],"clockMs":0,"seq":1,"born":%d}`,
		h.server.Listener.Addr().String(), *h.zone.Load(), h.born()))
}

// SetZone moves the host to an availability zone, which its entry shows at once.
func (h *Host) SetZone(zone string) {
	h.zone.Store(&zone)
	h.Register(h.store)
}

// Restart crashes the host, which is back at once as another instance: its connections
// break, and it knows nothing of before.
func (h *Host) Restart() {
	h.mu.Lock()
	for _, x := range h.runs {
		h.endRun(x, "crashed")
	}
	h.highestToken, h.leaseEndMs = 0, 0
	h.unackedEnds, h.endCount, h.highestRun = nil, 0, make(map[string]int64)
	h.begin()
	h.mu.Unlock()
	h.server.CloseClientConnections()
}

// Close stops the host and closes its connections.
func (h *Host) Close() {
	close(h.closing)
	h.server.CloseClientConnections()
	h.server.Close()
}

// SetUnresponsive sets whether the host stops responding to requests. Its runs
// continue until its lease expires.
func (h *Host) SetUnresponsive(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresponsive = on
}

// SetStartDelay makes the host execute starts after a delay and never respond
// to them. Zero ends this fault.
func (h *Host) SetStartDelay(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startDelay = d
}

// History returns the records of all runs that the host has started.
func (h *Host) History() []RunRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]RunRecord(nil), h.history...)
}

// clockMs returns the reading of the host's clock, in milliseconds.
func (h *Host) clockMs() int64 { return time.Since(*h.startedAt.Load()).Milliseconds() }

// born returns when the present instance started, in Unix milliseconds.
func (h *Host) born() int64 { return h.startedAt.Load().UnixMilli() }

type request struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
	// instance is the instance of the host that received the request.
	instance int64
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	req.instance = h.born()
	h.mu.Lock()
	if req.instance != h.born() {
		h.mu.Unlock()
		panic(http.ErrAbortHandler) // the connection has ended with the instance
	}
	if h.unresponsive {
		h.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-h.closing:
		}
		return
	}
	if delay := h.startDelay; delay > 0 && r.URL.Path == "/run-start" {
		h.mu.Unlock()
		time.AfterFunc(delay, func() { h.startDelayed(req) })
		select {
		case <-r.Context().Done():
		case <-h.closing:
		}
		return
	}
	h.expireLease()
	if req.FencingToken < h.highestToken {
		h.mu.Unlock()
		h.writeRefusal(w, "fence")
		return
	}
	h.highestToken = req.FencingToken
	h.leaseEndMs = max(h.leaseEndMs, req.UntilMs)
	switch r.URL.Path {
	case "/run-start":
		reason := h.start(req)
		h.mu.Unlock()
		if reason != "" {
			h.writeRefusal(w, reason)
			return
		}
		fmt.Fprintf(w, `{"clockMs":%d}`, h.clockMs())
	case "/run-stop":
		h.highestRun[req.Task] = max(h.highestRun[req.Task], req.Run)
		if x := h.runs[req.Task]; x != nil && x.number <= req.Run {
			h.endRun(x, "stopped")
		}
		h.mu.Unlock()
		fmt.Fprintf(w, `{"clockMs":%d}`, h.clockMs())
	case "/hold":
		h.mu.Unlock()
		h.serveHold(w, r, req)
	default:
		h.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *Host) writeRefusal(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, h.clockMs(), reason)
}

// expireLease ends all runs if the lease has expired.
func (h *Host) expireLease() {
	if h.clockMs() < h.leaseEndMs {
		return
	}
	for _, x := range h.runs {
		h.endRun(x, "lapsed")
	}
}

// start starts a run, or returns the reason of the refusal. A run that is already
// present counts as started.
func (h *Host) start(req request) (refusal string) {
	x := h.runs[req.Task]
	switch {
	case x != nil && x.number == req.Run:
		return ""
	case req.Run <= h.highestRun[req.Task]:
		return "old"
	case req.UntilMs < h.clockMs():
		return "late"
	}
	x = &run{task: req.Task, number: req.Run}
	h.runs[req.Task] = x
	h.history = append(h.history, RunRecord{Task: req.Task, Run: req.Run, StartedAt: time.Now()})
	x.timer = time.AfterFunc(h.runDuration, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.expireLease()
		if h.runs[req.Task] == x {
			h.endRun(x, "done")
		}
	})
	return ""
}

// startDelayed executes a delayed start.
func (h *Host) startDelayed(req request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLease()
	if req.instance != h.born() || req.FencingToken < h.highestToken {
		return
	}
	h.highestToken = req.FencingToken
	h.leaseEndMs = max(h.leaseEndMs, req.UntilMs)
	h.start(req) // a refusal has no receiver
}

// endRun ends a run and wakes the held requests.
func (h *Host) endRun(x *run, outcome string) {
	x.timer.Stop()
	delete(h.runs, x.task)
	h.highestRun[x.task] = max(h.highestRun[x.task], x.number)
	h.endCount++
	h.unackedEnds = append(h.unackedEnds, runEnd{h.endCount, x.task, x.number, outcome})
	for i := range h.history {
		if h.history[i].Task == x.task && h.history[i].Run == x.number {
			h.history[i].EndedAt, h.history[i].Outcome = time.Now(), outcome
		}
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// recordAck records in the history that an end was acknowledged.
func (h *Host) recordAck(e runEnd) {
	for i := range h.history {
		if h.history[i].Task == e.task && h.history[i].Run == e.run {
			h.history[i].AckedAt = time.Now()
		}
	}
}

// serveHold deletes the acknowledged ends and returns the present runs and the ends
// that are left. It waits up to WaitMs while there are none.
func (h *Host) serveHold(w http.ResponseWriter, r *http.Request, req request) {
	h.mu.Lock()
	for len(h.unackedEnds) > 0 && h.unackedEnds[0].number <= req.AckCursor {
		h.recordAck(h.unackedEnds[0])
		h.unackedEnds = h.unackedEnds[1:]
	}
	changed, wait := h.changed, req.WaitMs > 0 && len(h.unackedEnds) == 0
	h.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
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
	for _, e := range h.unackedEnds {
		ended = append(ended, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // fails only if the client has disconnected
		"clockMs": h.clockMs(), "born": h.born(), "running": running, "ended": ended,
	})
}
