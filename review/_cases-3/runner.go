package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// runner is a stand-in for a worker host. What a task does is told by its spec, see work. It refuses lower
// fencing tokens, and ends its runs when its lease expires by its own clock.
type runner struct {
	id string
	// labels are those in the entry, as JSON strings with commas.
	labels string
	rec    *recorder
	server *httptest.Server
	born   time.Time

	mu       sync.Mutex
	token    int64
	leaseEnd int64
	runs     map[string]*work
	highest  map[string]int64
	ended    []endRow
	ends     int64
	changed  chan struct{}
	// disturbs is set if tasks that fill disturb those that serve.
	disturbs bool
	// dark is set while the machine has no power: calls get no answer, and the runner writes no entry.
	dark bool
	// away is how long the runner is silent when a task has crashed it.
	away   time.Duration
	starts []startRow
}

// work is a run. The spec of a task is a list of words: "ms=N" how long it runs (until it is stopped, if that
// is missing), "end=HOW" how it ends, "fills" for a task that fills, "serves" for one that serves, "deadly" for one that
// crashes its runner.
type work struct {
	task          string
	run           int64
	fills, serves bool
	deadly        bool
	percent       int64
	startedAt     time.Time
	timer         *time.Timer
}

type endRow struct {
	n    int64
	task string
	run  int64
	how  string
}

// startRow is one run, for the judgement.
type startRow struct {
	task           string
	run            int64
	started, ended time.Time
	how            string
	runner         string
}

const (
	runnerCPU = 4000
	runnerMem = 8192
	// calmTailMs is the tail of a task that serves without others beside it, fullTailMs what the tasks that
	// fill add if one of them works at full speed.
	calmTailMs, fullTailMs = 20, 100
	heartbeat              = 1500 * time.Millisecond
)

func newRunner(id, labels string, rec *recorder, store *users.Store, done <-chan struct{}) *runner {
	r := &runner{id: id, labels: labels, rec: rec, born: time.Now(), runs: map[string]*work{}, highest: map[string]int64{}, changed: make(chan struct{})}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	go r.beat(store, done)
	return r
}

// beat writes the entry of the runner, until done is closed. The platform removes that of a runner which has
// been silent for three heartbeats.
func (r *runner) beat(store *users.Store, done <-chan struct{}) {
	silent := 0
	for seq := 1; ; seq++ {
		r.mu.Lock()
		dark, born, clock := r.dark, r.born.UnixMilli(), r.clock()
		r.mu.Unlock()
		switch {
		case !dark:
			silent = 0
			store.Put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,`+
				`"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":[%s],"clockMs":%d,"seq":%d,"born":%d}`,
				r.server.Listener.Addr().String(), runnerCPU, runnerMem, r.labels, clock, seq, born))
		default:
			if silent++; silent == 3 {
				store.Put("keyed.servers", r.id, nil)
			}
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash takes the power from the machine. It is back after a time in another lifetime, which knows nothing of
// before.
func (r *runner) crash(away time.Duration) {
	r.rec.printf("server %s crashes and is silent for %s", r.id, away)
	for _, x := range r.runs {
		r.end(x, "crashed")
	}
	r.dark = true
	time.AfterFunc(away, func() {
		r.mu.Lock()
		r.dark, r.born = false, time.Now()
		r.runs, r.highest, r.ended, r.ends, r.token, r.leaseEnd = map[string]*work{}, map[string]int64{}, nil, 0, 0, 0
		r.mu.Unlock()
		r.server.CloseClientConnections()
		r.rec.printf("server %s is back", r.id)
	})
}

func (r *runner) close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

type runnerCall struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int64  `json:"percent"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	var c runnerCall
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if r.dark {
		r.mu.Unlock()
		r.hang(q)
	}
	r.expire()
	if c.FencingToken < r.token {
		r.mu.Unlock()
		r.refuse(w, "fence")
		return
	}
	r.token = c.FencingToken
	r.leaseEnd = max(r.leaseEnd, min(c.UntilMs, r.clock()+10_000))
	reason := ""
	switch q.URL.Path {
	case "/run-start":
		reason = r.start(c)
	case "/run-stop":
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if x := r.runs[c.Task]; x != nil && x.run <= c.Run {
			r.end(x, "stopped")
		}
	case "/pace":
		if x := r.runs[c.Task]; x != nil && x.run == c.Run {
			x.percent = c.Percent
			r.rec.printf("server %s: %s run %d is paced to %d", r.id, c.Task, c.Run, c.Percent)
		}
	case "/hold":
		r.mu.Unlock()
		r.hold(w, q, c)
		return
	}
	r.mu.Unlock()
	if reason != "" {
		r.refuse(w, reason)
		return
	}
	fmt.Fprintf(w, `{"clockMs":%d}`, r.clock())
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, r.clock(), reason)
}

func (r *runner) expire() {
	if r.clock() >= r.leaseEnd {
		for _, x := range r.runs {
			r.end(x, "lapsed")
		}
	}
}

func (r *runner) start(c runnerCall) (refusal string) {
	x := r.runs[c.Task]
	switch {
	case x != nil && x.run == c.Run:
		return ""
	case x != nil, c.Run <= r.highest[c.Task]:
		return "old"
	case c.UntilMs <= r.clock():
		return "late"
	}
	x = &work{task: c.Task, run: c.Run, percent: 100, startedAt: time.Now()}
	how, ms := "done", 0
	for _, word := range strings.Fields(c.Spec) {
		switch {
		case word == "fills":
			x.fills = true
		case word == "serves":
			x.serves = true
		case word == "deadly":
			x.deadly = true
		case strings.HasPrefix(word, "end="):
			how = word[len("end="):]
		case strings.HasPrefix(word, "ms="):
			_, _ = fmt.Sscan(word[len("ms="):], &ms)
		}
	}
	r.runs[c.Task] = x
	r.starts = append(r.starts, startRow{task: c.Task, run: c.Run, started: x.startedAt, runner: r.id})
	r.rec.printf("server %s: %s run %d starts", r.id, c.Task, c.Run)
	x.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expire()
		switch {
		case r.runs[c.Task] != x:
		case x.deadly:
			r.crash(r.away)
		default:
			r.end(x, how)
		}
	})
	if ms == 0 {
		x.timer.Stop()
	}
	return ""
}

func (r *runner) end(x *work, how string) {
	x.timer.Stop()
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.ends++
	r.ended = append(r.ended, endRow{r.ends, x.task, x.run, how})
	for i := range r.starts {
		if r.starts[i].task == x.task && r.starts[i].run == x.run {
			r.starts[i].ended, r.starts[i].how = time.Now(), how
		}
	}
	r.rec.printf("server %s: %s run %d ends %s", r.id, x.task, x.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// tail returns the tail of the tasks that serve, in milliseconds.
func (r *runner) tail() int64 {
	tail := int64(calmTailMs)
	if r.disturbs {
		most := int64(0)
		for _, x := range r.runs {
			if x.fills {
				most = max(most, x.percent)
			}
		}
		tail += fullTailMs * most / 100
	}
	return tail
}

// hang leaves a call without an answer, until its client gives up or the channel breaks as the runner is back.
func (r *runner) hang(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, c runnerCall) {
	r.mu.Lock()
	r.ended = slices.DeleteFunc(r.ended, func(e endRow) bool { return e.n <= c.AckCursor })
	born := r.born
	changed, wait := r.changed, c.WaitMs > 0 && len(r.ended) == 0
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-q.Context().Done():
		}
	}
	r.mu.Lock()
	if r.dark || r.born != born {
		r.mu.Unlock()
		r.hang(q)
	}
	defer r.mu.Unlock()
	r.expire()
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		figure := int64(500)
		if x.serves {
			figure = r.tail()
		}
		running = append(running, []any{x.task, x.run, "", x.percent, figure})
	}
	for _, e := range r.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended}) // fails only if the caller has left
}
