package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

const (
	workTopic = "keyed.medlarpulley"
	// Figures of the site's store: the time of an answer, what reads share, and the limits of a page of
	// newest records.
	answerTime    = 4 * time.Millisecond
	readBytesPerS = 80_000_000
	pageRecords   = 500
	pageBytes     = 1_000_000
)

// pagedStore is a proxy before the store. It serves the newest records of the work topic in pages of the size
// that the users' pages name, at their speed. All else it passes on.
type pagedStore struct {
	target string
	server *httptest.Server
	mu     sync.Mutex
	newest map[string]newestRecord
	keys   []string
	end    uint64
	// freeAt is when the bytes that reads share are free again.
	freeAt time.Time
}

type newestRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

func newPagedStore(target string) *pagedStore {
	s := &pagedStore{target: target, newest: map[string]newestRecord{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *pagedStore) address() string { return s.server.Listener.Addr().String() }

func (s *pagedStore) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	work := r.URL.Query().Get("topic") == workTopic
	switch {
	case work && r.URL.Path == "/log-newest":
		s.serveNewest(w, r.URL.Query().Get("after"))
		return
	case work && r.URL.Path == "/log-append":
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.target+r.URL.RequestURI(), bytes.NewReader(body))
	if work && r.URL.Path == "/log-append" {
		req = req.WithContext(r.Context())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if work && r.URL.Path == "/log-append" && resp.StatusCode == http.StatusOK {
		s.noteAppend(body, answer)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// noteAppend notes the records of an append. The caller holds s.mu.
func (s *pagedStore) noteAppend(body, answer []byte) {
	var a struct{ Offset, EndOffset uint64 }
	if json.Unmarshal(answer, &a) != nil || a.EndOffset <= s.end {
		return // a repeat
	}
	s.end = a.EndOffset
	for offset := a.Offset; len(body) >= 4; offset++ {
		n := binary.BigEndian.Uint32(body)
		rec := body[4 : 4+n]
		body = body[4+n:]
		k := 1 + int(rec[0])
		key, value := string(rec[1:k]), rec[k:]
		i, found := slices.BinarySearch(s.keys, key)
		switch {
		case len(value) == 0 && found:
			s.keys = slices.Delete(s.keys, i, i+1)
			delete(s.newest, key)
		case len(value) > 0:
			if !found {
				s.keys = slices.Insert(s.keys, i, key)
			}
			s.newest[key] = newestRecord{key, value, offset}
		}
	}
}

func (s *pagedStore) serveNewest(w http.ResponseWriter, after string) {
	var out struct {
		Items     []newestRecord `json:"items"`
		HasMore   bool           `json:"hasMore"`
		EndOffset uint64         `json:"endOffset"`
	}
	s.mu.Lock()
	i, found := slices.BinarySearch(s.keys, after)
	if found {
		i++
	}
	size := 0
	for ; i < len(s.keys) && len(out.Items) < pageRecords && size < pageBytes; i++ {
		rec := s.newest[s.keys[i]]
		out.Items = append(out.Items, rec)
		size += len(rec.Key) + len(rec.Value)
	}
	out.HasMore, out.EndOffset = i < len(s.keys), s.end
	s.mu.Unlock()
	data, _ := json.Marshal(out) // strings and numbers always encode
	s.mu.Lock()
	s.freeAt = later(s.freeAt, time.Now()).Add(time.Duration(len(data)) * time.Second / readBytesPerS)
	free := s.freeAt
	s.mu.Unlock()
	time.Sleep(time.Until(free))
	_, _ = w.Write(data)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	storedWork   = 2200 // submissions that wait for their time
	loaders      = 32
	promptWork   = 12
	restartAfter = time.Second
)

// playHistory stores much work that waits, ends the history of the topic, kills all processes and starts them
// again. Clients hand work in and cancel it at once.
func playHistory(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 6, cancelledWork)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.store.Put("keyed.op", "config", []byte(config))
	proxy := newPagedStore(c.store.Address())
	for _, name := range []string{"n1", "n2", "n3"} {
		if _, err := c.start(name, proxy.address()); err != nil {
			return false, err
		}
	}
	if _, err := c.ownerOf(); err != nil {
		return false, err
	}
	if err := c.storeWork(); err != nil {
		return false, err
	}
	rec.printf("clients: %d submissions for a later time are accepted", storedWork)
	time.Sleep(5 * time.Second) // calm
	c.store.TrimHistory(workTopic)
	rec.printf("store: the history of the topic has expired; %d keys have a newest record", len(proxy.keys))
	calmFrom := time.Now()
	if trouble {
		for _, n := range c.nodes {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		rec.printf("all processes are killed")
		time.Sleep(restartAfter)
		nodes := slices.Clone(c.nodes)
		for _, n := range nodes {
			if _, err := c.restart(n); err != nil {
				return false, err
			}
		}
		calmFrom = time.Now().Add(contactBound)
	}
	type cancelled struct {
		id     string
		status int
		at     time.Time
	}
	list := make([]cancelled, promptWork)
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() {
			from, to := c.nodes[i%3], c.nodes[(i+i/3)%3]
			id := fmt.Sprintf("%016x", 0xd0+i)
			list[i].id = id
			if !c.repeat("POST", from, id, chain(5), 200) {
				return
			}
			list[i].status, list[i].at = c.cancelOnce(to, id)
		})
	}
	wg.Wait()
	time.Sleep(18 * time.Second)
	for _, x := range list {
		for _, r := range c.starts(x.id) {
			after := r.StartedAt.Sub(x.at)
			rec.printf("server: %s run %d started %.3f s after the answer %d to the cancelling, ended %q", r.Task, r.Run, after.Seconds(), x.status, r.Outcome)
			if x.status != 0 && after > cancelBound && r.StartedAt.After(calmFrom) {
				rec.printf("a machine in touch started it %.3f s after the cancelling was acknowledged", after.Seconds())
				broken = true
			}
		}
	}
	return broken, nil
}

// storeWork hands in work that is due in an hour.
func (c *cell) storeWork() error {
	due := time.Now().Add(time.Hour).UnixMilli()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":2500}],"repeatCount":1,"firstMs":%d,"intervalMs":1000}`, bytes.Repeat([]byte("x"), 3900), due)
	var wg sync.WaitGroup
	failed := make(chan string, loaders)
	for k := range loaders {
		wg.Go(func() {
			for i := k; i < storedWork; i += loaders {
				id := fmt.Sprintf("8%015x", i)
				if !c.repeat("POST", c.nodes[i%3], id, body, 200) {
					failed <- id
					return
				}
			}
		})
	}
	wg.Wait()
	if len(failed) > 0 {
		return fmt.Errorf("submission %s is not accepted", <-failed)
	}
	return nil
}

// repeat sends a call until it gets a status, for 20 s at most.
func (c *cell) repeat(method string, n *entry, id, body string, want int) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		code, answer := c.call(n, method, "/q/"+id, "key-a", body, 3*time.Second)
		if id[0] == '0' {
			c.rec.printf("client: %s %s at %s -> %d %s", method, id, n.name, code, answer)
		}
		if code == want {
			return true
		}
	}
	return false
}

// cancelOnce cancels a submission until that is acknowledged.
func (c *cell) cancelOnce(n *entry, id string) (status int, at time.Time) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		code, answer := c.call(n, "DELETE", "/q/"+id, "key-a", "", 3*time.Second)
		at = time.Now()
		c.rec.printf("client: DELETE %s at %s -> %d %s", id, n.name, code, answer)
		if code/100 == 2 || code == 410 {
			return code, at
		}
	}
	return 0, at
}
