package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// runner is a stand-in for one of the users' runners. It does what PROTOCOL.md
// says under "Running tasks": it refuses lower fencing tokens and runs that are
// not higher than one that was stopped or ended there, its runs end when the lease
// passes on its own clock, and ends are listed until they are acknowledged. After
// a crash it runs nothing, has seen no fence number, and all its counts start anew.
//
// The spec of a submission says how long its tasks run: a number of milliseconds,
// or "perpetual"; after "fail" they end failed after 50 ms (FAIL_MS). A second word, if there is one, is the cpu that they use, in
// thousandths of a core (500).
type runner struct {
	id, kind, rack, address string
	store                   *users.Store
	rec                     *recorder
	maxHold                 time.Duration
	// stopTime is how long a stop takes, listLag how long after its start the first
	// entry of a lifetime is written.
	stopTime, listLag time.Duration
	capacity          int64

	mu   sync.Mutex
	life *life
	seq  int64
	// cut is set while the runner is cut off and runs on: no call reaches it, and it
	// writes nothing.
	cut bool
}

// life is one lifetime of a runner.
type life struct {
	born     time.Time
	server   *http.Server
	listener net.Listener
	over     chan struct{}

	fence      int64
	leaseUntil int64
	runs       map[string]*run
	highest    map[string]int64
	ends       []end
	lastEnd    int64
	changed    chan struct{}
}

type run struct {
	task   string
	number int64
	// use is the cpu in use, in thousandths of a core.
	use      int64
	timer    *time.Timer
	stopping bool
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

const (
	heartbeat = 1500 * time.Millisecond
	// idleTimeout is how long a runner keeps an unused channel open.
	idleTimeout = 5 * time.Second
)

func newRunner(id, kind, rack string, store *users.Store, rec *recorder) *runner {
	r := &runner{id: id, kind: kind, rack: rack, store: store, rec: rec, maxHold: 10 * time.Second, stopTime: 50 * time.Millisecond, capacity: 16000}
	r.start()
	go func() {
		for {
			time.Sleep(heartbeat)
			r.register()
		}
	}()
	return r
}

// start begins a new lifetime, at the address of the earlier ones.
func (r *runner) start() {
	at := r.address
	if at == "" {
		at = freeAddress()
	}
	l := listenAgain(at)
	f := &life{born: time.Now(), listener: l, over: make(chan struct{}), runs: make(map[string]*run), highest: make(map[string]int64), changed: make(chan struct{})}
	f.server = r.newServer(f)
	r.mu.Lock()
	r.address, r.life = l.Addr().String(), f
	r.mu.Unlock()
	go func() { _ = f.server.Serve(l) }()
	if r.listLag == 0 {
		r.register()
		return
	}
	time.AfterFunc(r.listLag, r.register)
}

// crash ends the lifetime: its channels break, and what runs ends with it.
func (r *runner) crash() {
	if f := r.endLife(); f != nil {
		_ = f.server.Close()
	}
}

// crashDark ends the lifetime as a loss of power does: what runs ends with it, and
// its open channels go silent.
func (r *runner) crashDark() {
	if f := r.endLife(); f != nil {
		_ = f.listener.Close()
	}
}

// setCut cuts the runner off, or ends that. Calls that were held up are lost.
func (r *runner) setCut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	r.rec.note("cut    %s: %t", r.id, on)
}

// refuse cuts the runner off by resets: its channels break, and new ones are refused.
// What runs there runs on.
func (r *runner) refuse() {
	r.mu.Lock()
	f := r.life
	r.cut = true
	r.rec.note("cut    %s refuses, and runs on", r.id)
	r.mu.Unlock()
	_ = f.server.Close()
}

// accept ends the cut of refuse.
func (r *runner) accept() {
	l := listenAgain(r.address)
	r.mu.Lock()
	f := r.life
	r.cut = false
	f.listener = l
	f.server = r.newServer(f)
	r.rec.note("cut    %s can be reached again", r.id)
	r.mu.Unlock()
	go func() { _ = f.server.Serve(l) }()
	r.register()
}

func (r *runner) newServer(f *life) *http.Server {
	return &http.Server{IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(f, w, q) })}
}

func listenAgain(at string) (l net.Listener) {
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", at); err == nil {
			return l
		}
		time.Sleep(10 * time.Millisecond)
	}
	fatal("a runner cannot listen: %v", err)
	return nil
}

// endLife ends what runs and returns the lifetime, nil if there is none.
func (r *runner) endLife() *life {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.life
	r.life = nil
	if f == nil {
		return nil
	}
	close(f.over)
	for _, x := range f.runs {
		x.timer.Stop()
		r.rec.runEnded(r.id, x.task, x.number, "lost with its runner")
	}
	f.runs = nil
	return f
}

// register writes the runner's entry while it is alive.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || r.cut {
		return
	}
	r.seq++
	r.store.Put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready",`+
		`"coldRemainingMs":0,"capacity":{"cpu":%d,"memMb":65536,"gpu":0},"labels":[%q,%q],"clockMs":%d,"seq":%d,"born":%d}`,
		r.address, r.capacity, r.kind, r.rack, r.life.clock(), r.seq, r.life.born.UnixMilli()))
}

func (f *life) clock() int64 { return time.Since(f.born).Milliseconds() }

type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (r *runner) serve(f *life, w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := q.Header.Get("X-Medlarpulley-Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.life != f || r.cut {
		r.mu.Unlock()
		hang(q)
	}
	r.expire(f)
	if o.FencingToken < f.fence {
		r.mu.Unlock()
		refuse(f, w, "fence")
		return
	}
	if f.leaseUntil > 0 && f.clock() >= f.leaseUntil {
		r.rec.leaseLapsed(r.id, f.born.Add(time.Duration(f.leaseUntil)*time.Millisecond))
	}
	f.fence = o.FencingToken
	f.leaseUntil = max(f.leaseUntil, min(o.UntilMs, f.clock()+r.maxHold.Milliseconds()))
	switch q.URL.Path {
	case "/run-start":
		reason := r.begin(f, o)
		r.mu.Unlock()
		if reason != "" {
			refuse(f, w, reason)
			return
		}
		fmt.Fprintf(w, `{"clockMs":%d}`, f.clock())
	case "/run-stop":
		r.stop(f, o)
		r.mu.Unlock()
		fmt.Fprintf(w, `{"clockMs":%d}`, f.clock())
	case "/hold":
		r.mu.Unlock()
		r.hold(f, w, q, o)
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// hang holds a call that reached an ended lifetime until its channel breaks. After a
// crash with a reset of the channels that is at once.
func hang(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

func refuse(f *life, w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, f.clock(), reason)
}

// expire ends all runs once the lease has passed.
func (r *runner) expire(f *life) {
	if f.clock() < f.leaseUntil {
		return
	}
	for _, x := range f.runs {
		r.finish(f, x, "lapsed")
	}
}

func (r *runner) begin(f *life, o order) (reason string) {
	x := f.runs[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		return ""
	case x != nil || o.Run <= f.highest[o.Task]:
		return "old"
	case o.UntilMs <= f.clock():
		return "late"
	}
	x = &run{task: o.Task, number: o.Run, use: 500}
	words := strings.Fields(o.Spec + " perpetual")
	if use, err := strconv.ParseInt(words[1%len(words)], 10, 64); err == nil && len(words) > 2 {
		x.use = use
	}
	f.runs[o.Task] = x
	r.rec.runStarted(r.id, o.Task, o.Run, o.FencingToken)
	d, how := 24*time.Hour, "done"
	if ms, err := strconv.Atoi(words[0]); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if words[0] == "fail" {
		d, how = time.Duration(envInt("FAIL_MS", 50))*time.Millisecond, "failed"
	}
	x.timer = time.AfterFunc(d, func() { r.later(f, x, how) })
	// A look at the lease at the moment at which it passes.
	go r.watchLease(f)
	return ""
}

func (r *runner) watchLease(f *life) {
	for {
		r.mu.Lock()
		if r.life != f || len(f.runs) == 0 {
			r.mu.Unlock()
			return
		}
		r.expire(f)
		left := time.Duration(f.leaseUntil-f.clock()) * time.Millisecond
		r.mu.Unlock()
		time.Sleep(max(left, 2*time.Millisecond))
	}
}

// later ends a run unless it has ended.
func (r *runner) later(f *life, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != f {
		return
	}
	r.expire(f)
	if f.runs[x.task] == x {
		r.finish(f, x, how)
	}
}

func (r *runner) stop(f *life, o order) {
	f.highest[o.Task] = max(f.highest[o.Task], o.Run)
	if x := f.runs[o.Task]; x != nil && x.number <= o.Run && !x.stopping {
		x.stopping = true
		time.AfterFunc(r.stopTime, func() { r.later(f, x, "stopped") })
	}
}

func (r *runner) finish(f *life, x *run, how string) {
	x.timer.Stop()
	delete(f.runs, x.task)
	f.highest[x.task] = max(f.highest[x.task], x.number)
	f.lastEnd++
	f.ends = append(f.ends, end{f.lastEnd, x.task, x.number, how})
	r.rec.runEnded(r.id, x.task, x.number, how)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (r *runner) hold(f *life, w http.ResponseWriter, q *http.Request, o order) {
	r.mu.Lock()
	for len(f.ends) > 0 && f.ends[0].n <= o.AckCursor {
		r.rec.endNoted(r.id, f.ends[0].task, f.ends[0].run, f.ends[0].how)
		f.ends = f.ends[1:]
	}
	changed, wait := f.changed, o.WaitMs > 0 && len(f.ends) == 0
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-q.Context().Done():
		case <-f.over:
			hang(q)
		}
	}
	r.mu.Lock()
	if r.life != f || r.cut {
		r.mu.Unlock()
		hang(q)
	}
	defer r.mu.Unlock()
	r.expire(f)
	running, ended := [][]any{}, [][]any{}
	for _, x := range f.runs {
		running = append(running, []any{x.task, x.number, "", 100, x.use})
	}
	for _, e := range f.ends[:min(len(f.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": f.clock(), "born": f.born.UnixMilli(), "running": running, "ended": ended})
}
