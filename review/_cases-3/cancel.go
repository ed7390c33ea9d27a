package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lateStore is a proxy before the store. Of the appends that it passes on, those that it is told of get
// no answer and are carried out later.
type lateStore struct {
	rec    *recorder
	target string
	server *httptest.Server
	mu     sync.Mutex
	// late are the submissions whose first append is carried out late; delay says by how much.
	late         map[string]time.Duration
	passed, lost int
	counting     bool
	// endedAt is when the last late append was carried out.
	endedAt time.Time
}

func newLateStore(rec *recorder, target string) *lateStore {
	s := &lateStore{rec: rec, target: target, late: map[string]time.Duration{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *lateStore) address() string { return s.server.Listener.Addr().String() }

func (s *lateStore) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/log-append" {
		if delay := s.delayOf(body); delay > 0 {
			s.rec.printf("store: an append (%s) gets no answer and is carried out %s later", r.URL.RawQuery, delay)
			time.AfterFunc(delay, func() {
				status, answer := s.pass(r, body)
				s.mu.Lock()
				s.endedAt = time.Now()
				s.mu.Unlock()
				s.rec.printf("store: the late append is carried out: %d %s", status, answer)
			})
			<-r.Context().Done()
			return
		}
	}
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.target+r.URL.RequestURI(), bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// delayOf returns by how much an append is late; zero if it is carried out at once.
func (s *lateStore) delayOf(body []byte) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.late {
		if bytes.Contains(body, []byte("s/"+id)) {
			delete(s.late, id)
			s.lost++
			return d
		}
	}
	if s.counting {
		s.passed++
	}
	return 0
}

func (s *lateStore) pass(r *http.Request, body []byte) (int, string) {
	resp, err := http.Post("http://"+s.target+r.URL.RequestURI(), "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

const (
	cancelBound   = 3 * time.Second        // cancel_ms
	contactBound  = 3 * time.Second        // contactMs
	clientLeaves  = 250 * time.Millisecond // when the client gives the submission up
	lateBy        = 2 * time.Second
	cancelledWork = 2500 * time.Millisecond // how long a task runs
)

// chain returns a submission of steps that run one after the other.
func chain(steps int) string {
	const step = `{"count":1,"cpu":1000,"memMb":10,"estimateMs":2500`
	body := `{"spec":"x","steps":[` + step + "}"
	for i := 1; i < steps; i++ {
		body += fmt.Sprintf(`,%s,"after":[%d]}`, step, i-1)
	}
	return body + "]}"
}

// playCancel hands work in, gives it up before there is an answer, and cancels it.
func playCancel(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 4, cancelledWork)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.store.Put("keyed.op", "config", []byte(config))
	proxy := newLateStore(rec, c.store.Address())
	for _, name := range []string{"n1", "n2", "n3"} {
		if _, err := c.start(name, proxy.address()); err != nil {
			return false, err
		}
	}
	if _, err := c.ownerOf(); err != nil {
		return false, err
	}
	body := chain(5)
	if err := eventually("a submission is accepted", settledTimeout, func() bool {
		code, _ := c.call(c.nodes[0], "POST", "/q/00000000000000aa", "key-a", body, 3*time.Second)
		return code == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // calm
	type cancelled struct {
		id     string
		status int
		at     time.Time
	}
	var list []cancelled
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0xb0+i)
		from, to := c.nodes[i%3], c.nodes[(i+i/2)%3]
		if trouble {
			proxy.mu.Lock()
			proxy.late[id], proxy.counting = lateBy, true
			proxy.mu.Unlock()
		}
		code, answer := c.call(from, "POST", "/q/"+id, "key-a", body, clientLeaves)
		rec.printf("client: POST %s at %s -> %d %s", id, from.name, code, answer)
		var at time.Time
		for range 20 {
			code, answer = c.call(to, "DELETE", "/q/"+id, "key-a", "", 3*time.Second)
			at = time.Now()
			rec.printf("client: DELETE %s at %s -> %d %s", id, to.name, code, answer)
			if code/100 == 2 || code == 410 {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		list = append(list, cancelled{id, code, at})
		time.Sleep(700 * time.Millisecond)
	}
	rec.printf("store: %d appends carried out late, %d at once meanwhile", proxy.lost, proxy.passed)
	time.Sleep(18 * time.Second)
	calmFrom := proxy.endedAt.Add(contactBound)
	for _, x := range list {
		for _, r := range c.starts(x.id) {
			after := r.StartedAt.Sub(x.at)
			rec.printf("server: %s run %d started %.3f s after the answer %d to the cancelling, ended %q", r.Task, r.Run, after.Seconds(), x.status, r.Outcome)
			if after > cancelBound && r.StartedAt.After(calmFrom) {
				rec.printf("a machine in touch started it %.3f s after the cancelling was acknowledged", after.Seconds())
				broken = true
			}
		}
	}
	return broken, nil
}
