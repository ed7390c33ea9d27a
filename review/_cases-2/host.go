package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	stopTime          = 50 * time.Millisecond
)

// outcome is how a run ends by itself, and after which time; a zero time means never.
type outcome struct {
	after time.Duration
	how   string
}

// host is a stand-in for a runner. It follows the section "Running tasks" of the users'
// page on the protocol. The network in front of it may hold calls back.
type host struct {
	id, rack, address string
	world             *world

	mu   sync.Mutex
	life *lifetime // nil while the process is down
	seq  int64
	srv  *http.Server
	// dark is set while the machine is silent: it is closed when a process is up again.
	dark chan struct{}
	// lastBeat is when the entry was last written.
	lastBeat time.Time
}

// lifetime is one process of a runner. It is guarded by the lock of the host.
type lifetime struct {
	born     time.Time
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	highest  map[string]int64
	ended    [][]any
	endCount int64
	changed  chan struct{}
}

type taskRun struct {
	run   int64
	timer *time.Timer
}

type call struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func newHost(w *world, id, rack string) *host {
	h := &host{id: id, rack: rack, world: w}
	h.start()
	go h.beat()
	return h
}

// start starts a process of the runner, at the same address as before.
func (h *host) start() {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		h.world.cannotRun("listen: %v", err)
	}
	h.mu.Lock()
	h.address = l.Addr().String()
	h.life = &lifetime{born: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{})}
	h.seq = 0
	h.srv = &http.Server{Handler: http.HandlerFunc(h.serve)}
	srv := h.srv
	h.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	h.register()
	h.world.record("runner %s is up, born %d", h.id, h.life.born.UnixMilli())
}

// crash ends the process: its connections break, and what it ran and knew is gone.
func (h *host) crash() {
	h.mu.Lock()
	life, srv := h.life, h.srv
	h.life = nil
	for task, r := range life.runs {
		r.timer.Stop()
		h.world.ended(h.id, task, r.run, "crashed")
	}
	h.mu.Unlock()
	_ = srv.Close()
	h.world.record("runner %s has crashed", h.id)
}

// goDark crashes the machine without a word: open connections and new ones get no answer
// until a process is up again, at the same address, after a time.
func (h *host) goDark(d time.Duration) {
	h.mu.Lock()
	if h.life == nil {
		h.mu.Unlock()
		return
	}
	life := h.life
	h.life, h.dark = nil, make(chan struct{})
	for task, r := range life.runs {
		r.timer.Stop()
		h.world.ended(h.id, task, r.run, "crashed")
	}
	h.mu.Unlock()
	h.world.record("runner %s has crashed and is silent", h.id)
	time.AfterFunc(d, func() {
		h.mu.Lock()
		h.seq = 0
		h.life = &lifetime{born: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{})}
		born := h.life.born.UnixMilli()
		close(h.dark)
		h.dark = nil
		h.mu.Unlock()
		h.register()
		h.world.record("runner %s is up, born %d", h.id, born)
	})
}

// silentIfDark leaves a call without an answer while the machine is silent, and then breaks
// its connection, since the process that it was sent to is gone.
func (h *host) silentIfDark(r *http.Request) {
	h.mu.Lock()
	dark := h.dark
	h.mu.Unlock()
	if dark == nil {
		return
	}
	select {
	case <-dark:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// beat writes the entry of the runner, and removes it after three intervals of silence, as
// the platform does.
func (h *host) beat() {
	for {
		time.Sleep(100 * time.Millisecond)
		h.mu.Lock()
		up, silent := h.life != nil, time.Since(h.lastBeat)
		h.mu.Unlock()
		switch {
		case up && silent >= heartbeatInterval:
			h.register()
		case !up && !h.lastBeat.IsZero() && silent >= 3*heartbeatInterval:
			h.mu.Lock()
			h.lastBeat = time.Time{}
			h.mu.Unlock()
			h.world.store.Put("keyed.servers", h.id, nil)
			h.world.record("the platform removes the entry of runner %s", h.id)
		}
	}
}

func (h *host) register() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	h.lastBeat = time.Now()
	h.world.store.Put("keyed.servers", h.id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready",`+
		`"coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":65536,"gpu":0},"labels":["a",%q],"seq":%d,"born":%d}`,
		h.address, h.rack, h.seq, h.life.born.UnixMilli()))
}

// serve passes a call to the process, unless the network holds it back.
func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	h.silentIfDark(r)
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	path, instance := r.URL.Path, r.Header.Get("X-Medlarpulley-Expected-Instance")
	if d := h.world.holdBack(h, path, c); d > 0 {
		h.world.record("the network holds back %s of %s run %d to runner %s for %s", path, c.Task, c.Run, h.id, d)
		time.AfterFunc(d, func() {
			status, body := h.handle(path, instance, c)
			h.world.record("the network delivers %s of %s run %d to runner %s: %d %s", path, c.Task, c.Run, h.id, status, body)
		})
		<-r.Context().Done()
		return
	}
	if path == "/hold" {
		h.hold(w, r, instance, c)
		return
	}
	status, body := h.handle(path, instance, c)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// check returns the refusal of a call, status zero if it is accepted. The caller holds the
// lock.
func (h *host) check(instance string, c call) (status int, body string) {
	if instance != "" && instance != h.id {
		return http.StatusMisdirectedRequest, `{}`
	}
	if c.FencingToken < h.life.fence {
		return http.StatusConflict, h.reason("fence")
	}
	h.expireLease()
	h.life.fence = c.FencingToken
	h.life.leaseEnd = max(h.life.leaseEnd, min(time.Duration(c.UntilMs)*time.Millisecond, h.clock()+maxHold))
	return 0, ""
}

func (h *host) clock() time.Duration { return time.Since(h.life.born) }

func (h *host) reason(why string) string {
	return fmt.Sprintf(`{"clockMs":%d,"born":%d,"reason":%q}`, h.clock().Milliseconds(), h.life.born.UnixMilli(), why)
}

func (h *host) expireLease() {
	if h.clock() < h.life.leaseEnd {
		return
	}
	for task, r := range h.life.runs {
		h.end(task, r, "lapsed")
	}
}

// handle carries out a start or a stop.
func (h *host) handle(path, instance string, c call) (status int, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life == nil {
		return 0, "nobody there"
	}
	if status, body := h.check(instance, c); status != 0 {
		return status, body
	}
	switch path {
	case "/run-start":
		if why := h.startRun(c); why != "" {
			return http.StatusConflict, h.reason(why)
		}
	case "/run-stop":
		h.life.highest[c.Task] = max(h.life.highest[c.Task], c.Run)
		if r := h.life.runs[c.Task]; r != nil && r.run <= c.Run {
			life := h.life
			r.timer.Stop()
			time.AfterFunc(stopTime, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.life == life && life.runs[c.Task] == r {
					h.end(c.Task, r, "stopped")
				}
			})
		}
	default:
		return http.StatusNotFound, `{}`
	}
	return http.StatusOK, fmt.Sprintf(`{"clockMs":%d,"born":%d}`, h.clock().Milliseconds(), h.life.born.UnixMilli())
}

func (h *host) startRun(c call) (refusal string) {
	life := h.life
	r := life.runs[c.Task]
	switch {
	case r != nil && r.run == c.Run:
		return ""
	case c.Run <= life.highest[c.Task]:
		return "old"
	case time.Duration(c.UntilMs)*time.Millisecond <= h.clock():
		return "late"
	}
	r = &taskRun{run: c.Run}
	life.runs[c.Task] = r
	o := h.world.outcomeOf(c.Task)
	h.world.started(h.id, c)
	h.world.onStart(h, c.Task)
	r.timer = time.AfterFunc(max(o.after, time.Millisecond), func() {
		if o.after == 0 {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.life != life {
			return
		}
		h.expireLease()
		if life.runs[c.Task] == r {
			h.end(c.Task, r, o.how)
		}
	})
	return ""
}

func (h *host) end(task string, r *taskRun, how string) {
	life := h.life
	r.timer.Stop()
	delete(life.runs, task)
	life.highest[task] = max(life.highest[task], r.run)
	life.endCount++
	life.ended = append(life.ended, []any{life.endCount, task, r.run, how, ""})
	close(life.changed)
	life.changed = make(chan struct{})
	h.world.ended(h.id, task, r.run, how)
}

const maxListed = 500

// hold answers a poll. It waits for an end while none is listed.
func (h *host) hold(w http.ResponseWriter, r *http.Request, instance string, c call) {
	h.mu.Lock()
	life := h.life
	if life == nil {
		h.mu.Unlock()
		h.silentIfDark(r)
		panic(http.ErrAbortHandler)
	}
	if status, body := h.check(instance, c); status != 0 {
		h.mu.Unlock()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
		return
	}
	for len(life.ended) > 0 && life.ended[0][0].(int64) <= c.AckCursor {
		e := life.ended[0]
		h.world.acked(h.id, e[1].(string), e[2].(int64), e[3].(string))
		life.ended = life.ended[1:]
	}
	changed, wait := life.changed, c.WaitMs > 0 && len(life.ended) == 0
	h.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	h.mu.Lock()
	if h.life != life {
		h.mu.Unlock()
		h.silentIfDark(r)
		panic(http.ErrAbortHandler)
	}
	h.expireLease()
	var b strings.Builder
	fmt.Fprintf(&b, `{"clockMs":%d,"born":%d,"running":[`, h.clock().Milliseconds(), life.born.UnixMilli())
	first := true
	for task, x := range life.runs {
		if !first {
			b.WriteByte(',')
		}
		first = false
		fmt.Fprintf(&b, `[%q,%d,"",100,10]`, task, x.run)
	}
	ended, _ := json.Marshal(life.ended[:min(len(life.ended), maxListed)])
	if len(life.ended) == 0 {
		ended = []byte("[]")
	}
	b.WriteString(`],"ended":` + string(ended) + `}`)
	h.mu.Unlock()
	_, _ = w.Write([]byte(b.String()))
}
