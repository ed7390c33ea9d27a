package users

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what the store does instead of its work.
type Fault uint8

// The faults of the store.
const (
	// Sound: every call is carried out and answered.
	Sound Fault = iota
	// Refusing: every call is answered with 503 and nothing is done.
	Refusing
	// Forgetful: appends are carried out and never answered.
	Forgetful
	// Silent: nothing is done and nothing is answered.
	Silent
	// Late: appends are carried out after lateBy, and never answered.
	Late
)

// lateBy is how long a late append takes.
const lateBy = 1500 * time.Millisecond

// Store is a log store with keyed topics, conditional epochs and sequence
// numbers, long reads and a short history.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	changed chan struct{}
	closing chan struct{}
	appends atomic.Int64
}

type topic struct {
	first     uint64
	records   [][]byte
	producers map[string]*producer
}

type producer struct {
	epoch, next int64
	answers     map[int64][]byte
	order       []int64
}

// rememberedAppends is how many appends of a producer can be repeated.
const rememberedAppends = 5

// NewStore returns a store that serves on loopback.
func NewStore() *Store {
	s := &Store{topics: make(map[string]*topic), changed: make(chan struct{}), closing: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns HOST:PORT.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set injects a fault.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Appends returns how many calls to append have arrived.
func (s *Store) Appends() int64 { return s.appends.Load() }

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = uint64(len(t.records))
}

// Put stores a record as the operator or a host does.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	t := s.topic(name)
	t.records = append(t.records, append(rec, value...))
	s.notify()
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if r.URL.Path == "/log-append" {
		s.appends.Add(1)
	}
	switch fault {
	case Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		s.hang(r)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		if fault == Late {
			time.AfterFunc(lateBy, func() { s.append(r, body) })
			s.hang(r)
			return
		}
		status, answer := s.append(r, body)
		if fault == Forgetful {
			s.hang(r)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hang keeps a call without an answer until its caller or the store ends.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
}

func (s *Store) append(r *http.Request, body []byte) (int, []byte) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		p := t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, next: seq, answers: make(map[int64][]byte)}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, []byte(`{"reason":"fenced"}`)
		}
		if answer, ok := p.answers[seq]; ok {
			return http.StatusOK, answer
		}
		if seq != p.next {
			return http.StatusConflict, []byte(`{"reason":"seq","seq":` + strconv.FormatInt(p.next, 10) + `}`)
		}
		answer := s.store(t, body)
		p.next++
		p.answers[seq] = answer
		p.order = append(p.order, seq)
		if len(p.order) > rememberedAppends {
			delete(p.answers, p.order[0])
			p.order = p.order[1:]
		}
		return http.StatusOK, answer
	}
	return http.StatusOK, s.store(t, body)
}

func (s *Store) store(t *topic, body []byte) []byte {
	first := len(t.records)
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		t.records = append(t.records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.notify()
	return []byte(`{"offset":` + strconv.Itoa(first) + `,"endOffset":` + strconv.Itoa(len(t.records)) + `}`)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := uint64(len(t.records)), s.changed
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"firstOffset":` + strconv.FormatUint(first, 10) + `}`))
			return
		}
		if end > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, end)
			out = binary.BigEndian.AppendUint64(out, t.first)
			for _, rec := range t.records[min(from, end):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	// pageItems is small, so that tests read several pages.
	const pageItems = 20
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	newest := map[string]item{}
	for i, rec := range t.records {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, value, uint64(i)}
	}
	end := len(t.records)
	s.mu.Unlock()
	var keys []string
	for k := range newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int    `json:"endOffset"`
	}{HasMore: len(keys) > pageItems, EndOffset: end}
	for _, k := range keys[:min(len(keys), pageItems)] {
		out.Items = append(out.Items, newest[k])
	}
	_ = json.NewEncoder(w).Encode(out) // a caller that has left needs no answer
}
