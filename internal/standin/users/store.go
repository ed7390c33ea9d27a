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

// Fault is a fault that the store simulates.
type Fault uint8

// Faults of the store.
const (
	// NoFault is no fault: the store executes and responds to every call.
	NoFault Fault = iota
	// RejectAll rejects every call with status 503 and executes none.
	RejectAll
	// DropAppendResponses executes appends but never responds to them.
	DropAppendResponses
	// Unresponsive neither executes nor responds to any call.
	Unresponsive
	// DelayAppends executes appends after lateAppendDelay and never responds to
	// them.
	DelayAppends
)

// lateAppendDelay is the delay of an append under the fault DelayAppends.
const lateAppendDelay = 1500 * time.Millisecond

// Store simulates the log store. It has keyed topics, fences producers by epoch,
// detects repeated appends by sequence number, supports long-poll reads and can
// delete the history of a topic.
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
	firstOffset uint64
	records     [][]byte
	producers   map[string]*producer
}

type producer struct {
	epoch, nextSeq int64
	responses      map[int64][]byte
	responseOrder  []int64
}

// Limits of one append, in bytes.
const (
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
)

// maxRememberedResponses is the number of most recent appends of a producer that
// can be repeated with the same response.
const maxRememberedResponses = 5

// NewStore starts a store on the loopback interface.
func NewStore() *Store {
	s := &Store{topics: make(map[string]*topic), changed: make(chan struct{}), closing: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the address of the store as HOST:PORT.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets the fault that the store simulates.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Appends returns the number of append calls received, whether or not they were
// executed.
func (s *Store) Appends() int64 { return s.appends.Load() }

// TrimHistory deletes the history of a topic for reads by offset. The newest
// record of each key stays available.
func (s *Store) TrimHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = uint64(len(t.records))
}

// Put appends a record like the operator or a host does, without a producer.
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
	case RejectAll:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		s.hang(r)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		if fault == DelayAppends {
			time.AfterFunc(lateAppendDelay, func() { s.append(r, body) })
			s.hang(r)
			return
		}
		status, response := s.append(r, body)
		if fault == DropAppendResponses {
			s.hang(r)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write(response)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hang holds a call without a response until its client disconnects or the store
// is closed.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
}

// append executes an append call and returns the status and the body of the
// response. It refuses a lower epoch of a producer and a sequence number out of
// order, and returns the same response for a repeated append.
func (s *Store) append(r *http.Request, body []byte) (int, []byte) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !withinLimits(body) {
		return http.StatusBadRequest, []byte(`{"reason":"size"}`)
	}
	t := s.topic(q.Get("topic"))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		p := t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, nextSeq: seq, responses: make(map[int64][]byte)}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, []byte(`{"reason":"fenced"}`)
		}
		if response, ok := p.responses[seq]; ok {
			return http.StatusOK, response
		}
		if seq != p.nextSeq {
			return http.StatusConflict, []byte(`{"reason":"seq","seq":` + strconv.FormatInt(p.nextSeq, 10) + `}`)
		}
		response := s.appendRecords(t, body)
		p.nextSeq++
		p.responses[seq] = response
		p.responseOrder = append(p.responseOrder, seq)
		if len(p.responseOrder) > maxRememberedResponses {
			delete(p.responses, p.responseOrder[0])
			p.responseOrder = p.responseOrder[1:]
		}
		return http.StatusOK, response
	}
	return http.StatusOK, s.appendRecords(t, body)
}

// withinLimits reports whether the records of a body are complete and within the limits
// of one append.
func withinLimits(body []byte) bool {
	if len(body) > maxRequestBytes {
		return false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes || n > len(body)-4 {
			return false
		}
		body = body[4+n:]
	}
	return true
}

// appendRecords appends the records of a body, each with its length as a 32-bit
// prefix, and returns the body of the response.
func (s *Store) appendRecords(t *topic, body []byte) []byte {
	first := len(t.records)
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		t.records = append(t.records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.notify()
	return []byte(`{"offset":` + strconv.Itoa(first) + `,"endOffset":` + strconv.Itoa(len(t.records)) + `}`)
}

// serveRead returns the records from an offset on, and waits up to waitMs while
// there are none.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := uint64(len(t.records)), s.changed
		if from < t.firstOffset {
			firstOffset := t.firstOffset
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"firstOffset":` + strconv.FormatUint(firstOffset, 10) + `}`))
			return
		}
		if end > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, end)
			out = binary.BigEndian.AppendUint64(out, t.firstOffset)
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

// serveNewest returns one page of the newest records per key, in the order of the
// keys. A record with an empty value deletes its key.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	// pageSize is small so that tests read several pages.
	const pageSize = 20
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	newest := map[string]item{}
	for i, rec := range t.records {
		keyEnd := 1 + int(rec[0])
		key, value := string(rec[1:keyEnd]), rec[keyEnd:]
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
	}{HasMore: len(keys) > pageSize, EndOffset: end}
	for _, k := range keys[:min(len(keys), pageSize)] {
		out.Items = append(out.Items, newest[k])
	}
	_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected
}
