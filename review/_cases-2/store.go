package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment give them.
const (
	appendTime      = 2 * time.Millisecond
	appendByteRate  = 20 << 20 // bytes a second
	maxRecord       = 262_144
	maxRequest      = 2_097_152
	maxNewestItems  = 500
	maxNewestBytes  = 1 << 20
	rememberedCalls = 5
	keep            = 20 * time.Second // the history of the small site
)

// logStore is a stand-in for the platform's log. It follows the page on the protocol where
// the stand-in of the project does not: appends take time, and answers to reads are bounded.
type logStore struct {
	address string

	mu      sync.Mutex
	topics  map[string]*logTopic
	changed chan struct{}
}

// expire deletes the records that are older than keep from the history of each topic. The
// newest record of each key is kept.
func (s *logStore) expire() {
	for ; ; time.Sleep(time.Second) {
		s.mu.Lock()
		for _, t := range s.topics {
			for t.first < len(t.records) && time.Since(t.storedAt[t.first]) > keep {
				t.first++
			}
		}
		s.mu.Unlock()
	}
}

type logTopic struct {
	appending sync.Mutex
	first     int
	records   [][]byte
	storedAt  []time.Time
	newest    map[string]int
	producers map[string]*logProducer
}

type logProducer struct {
	epoch, next int64
	answers     map[int64]string
}

func newLogStore(w *world) *logStore {
	s := &logStore{topics: map[string]*logTopic{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go s.expire()
	return s
}

// Address returns the address of the store.
func (s *logStore) Address() string { return s.address }

// Put appends a record of the operator or of a runner.
func (s *logStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topic), append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

func (s *logStore) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]int{}, producers: map[string]*logProducer{}}
		s.topics[name] = t
	}
	return t
}

func (s *logStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func keyOf(rec []byte) string { return string(rec[1 : 1+int(rec[0])]) }

func (s *logStore) add(t *logTopic, rec []byte) {
	t.records, t.storedAt = append(t.records, rec), append(t.storedAt, time.Now())
	key := keyOf(rec)
	if len(rec) == 1+len(key) {
		delete(t.newest, key)
		return
	}
	t.newest[key] = len(t.records) - 1
}

func (s *logStore) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/log-append":
		status, answer := s.append(r, body)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// split returns the records of an append, nil if one is too large or cut off.
func split(body []byte) (out [][]byte) {
	if len(body) > maxRequest {
		return nil
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > maxRecord || n > len(body)-4 || 1+int(body[4]) > n {
			return nil
		}
		out = append(out, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return out
}

func (s *logStore) append(r *http.Request, body []byte) (int, string) {
	records := split(body)
	if records == nil {
		return http.StatusBadRequest, `{"reason":"size"}`
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/appendByteRate)
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	p := t.producers[q.Get("producer")]
	if p == nil || epoch > p.epoch {
		p = &logProducer{epoch: epoch, next: seq, answers: map[int64]string{}}
		t.producers[q.Get("producer")] = p
	}
	if epoch < p.epoch {
		return http.StatusConflict, `{"reason":"fenced"}`
	}
	if answer, ok := p.answers[seq]; ok {
		return http.StatusOK, answer
	}
	if seq != p.next {
		return http.StatusConflict, `{"reason":"seq","seq":` + strconv.FormatInt(p.next, 10) + `}`
	}
	first := len(t.records)
	for _, rec := range records {
		s.add(t, rec)
	}
	s.notify()
	answer := `{"offset":` + strconv.Itoa(first) + `,"endOffset":` + strconv.Itoa(len(t.records)) + `}`
	p.next++
	p.answers[seq] = answer
	delete(p.answers, seq-rememberedCalls)
	return http.StatusOK, answer
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		end := len(t.records)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"firstOffset":` + strconv.Itoa(first) + `}`))
			return
		}
		if end > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(t.first))
			for i, rec := range t.records[min(from, end):] {
				if i > 0 && len(out)+4+len(rec) > maxKB<<10 {
					break
				}
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
		}
	}
}

func (s *logStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	out := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int    `json:"endOffset"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	out.EndOffset = len(t.records)
	var keys []string
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, k := range keys {
		rec := t.records[t.newest[k]]
		size += len(rec)
		if i > 0 && size > maxNewestBytes || i == maxNewestItems {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, item{k, rec[1+len(k):], t.newest[k]})
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out)
}

// newestOf returns the newest value of a key, and how many records the topic holds.
func (s *logStore) newestOf(topic, key string) (value []byte, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	if i, ok := t.newest[key]; ok {
		value = t.records[i][1+len(key):]
	}
	return value, len(t.records)
}
