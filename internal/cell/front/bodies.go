package front

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

const (
	// bodyBlockBytes is the size of the blocks in which bodies are received and counted.
	// It is small, since each body that has begun holds at least one.
	bodyBlockBytes = 8 << 10
	// processingFactor is the memory of a call that is being processed, in sizes of its
	// body: the body, the record of the submission, and two encodings of the body for another
	// node. What the decoded submission takes besides is that of platform.DecodedBytes.
	processingFactor = 4
	// processingBytes is the memory of a call apart from its body.
	processingBytes = 4 << 10
	// shedLogInterval is the shortest time between two log lines about bodies.
	shedLogInterval = 10 * time.Second
)

// Bodies receives the bodies of all calls of a process within one budget of memory.
type Bodies struct {
	timeout   time.Duration
	log       *slog.Logger
	sometimes rate.Sometimes
	blocks    sync.Pool

	mu     sync.Mutex
	budget *intake.Budget
	// open holds the bodies that are being received.
	open     map[intake.ID]*incomingBody
	timeouts uint64
}

// NewBodies returns an empty budget of limit bytes. timeout is how long the receiving of
// a body may take, unless the deadline of its call is longer.
func NewBodies(limit int64, timeout time.Duration, log *slog.Logger) *Bodies {
	return &Bodies{
		timeout: timeout, log: log, sometimes: rate.Sometimes{Interval: shedLogInterval},
		blocks: sync.Pool{New: func() any { return new([bodyBlockBytes]byte) }},
		budget: intake.NewBudget(limit), open: map[intake.ID]*incomingBody{},
	}
}

// Stats returns the state of the bodies.
func (b *Bodies) Stats() BodiesStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BodiesStats{BudgetStats: b.budget.Stats(), TimedOut: b.timeouts}
}

// SetLimit changes the memory for bodies.
func (b *Bodies) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(b.budget.SetLimit(limit))
}

// begin counts a body that begins to arrive. The header gives the deadline of its call.
func (b *Bodies) begin(conn connlimit.Request, header http.Header) *incomingBody {
	timeout := max(b.timeout, callDeadline(header))
	conn.SetReadDeadline(time.Now().Add(timeout))
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &incomingBody{bodies: b, id: b.budget.Open(), conn: conn}
	b.open[m.id] = m
	return m
}

// grow counts one more block of a body. It returns nil if the body has given way.
func (b *Bodies) grow(m *incomingBody) *[bodyBlockBytes]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	shed, ok := b.budget.Grow(m.id, bodyBlockBytes)
	b.end(shed)
	if !ok {
		return nil
	}
	return b.blocks.Get().(*[bodyBlockBytes]byte)
}

// keep adds a filled block to a body. It returns false if the body has given way.
func (b *Bodies) keep(m *incomingBody, block *[bodyBlockBytes]byte, filled int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[m.id] == nil {
		b.blocks.Put(block)
		return false
	}
	m.blocks, m.size = append(m.blocks, block), m.size+filled
	return true
}

// complete ends the receiving of a body and returns it in one piece. It returns false if
// the body has given way, or if there is no memory to process it.
func (b *Bodies) complete(m *incomingBody) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shed, ok := b.budget.Complete(m.id, m.processingMemory())
	b.end(shed)
	if !ok {
		b.end([]intake.ID{m.id})
		return nil, false
	}
	delete(b.open, m.id)
	m.conn.SetReadDeadline(time.Time{})
	data := make([]byte, 0, m.size)
	for _, part := range m.parts() {
		data = append(data, part...)
	}
	b.recycle(m)
	return data, true
}

// end ends the receiving of bodies. The reads of their connections fail from now on, so
// that neither the call nor the server waits for the rest. The caller holds b.mu.
func (b *Bodies) end(ids []intake.ID) {
	for _, id := range ids {
		m := b.open[id]
		if m == nil {
			continue
		}
		delete(b.open, id)
		m.conn.SetReadDeadline(time.Unix(1, 0))
		b.recycle(m)
	}
	if len(ids) > 0 {
		s := b.budget.Stats()
		b.sometimes.Do(func() {
			b.log.Warn("A request body was given up, since all bodies take too much memory.", "receiving", s.Receiving, "processing", s.Processing,
				"bodies", s.Messages, "limit", s.Limit, "shed", s.Shed, "refused", s.Refused)
		})
	}
}

// recycle takes the blocks of a body. The caller holds b.mu.
func (b *Bodies) recycle(m *incomingBody) {
	for _, block := range m.blocks {
		b.blocks.Put(block)
	}
	m.blocks = nil
}

// fail ends the receiving of a body that is not complete, since its read has failed.
func (b *Bodies) fail(m *incomingBody, timedOut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Close(m.id)
	delete(b.open, m.id)
	b.recycle(m)
	if !timedOut {
		return
	}
	b.timeouts++
	count := b.timeouts
	b.sometimes.Do(func() {
		b.log.Warn("A request body was given up, since it did not arrive in time.", "timeout", b.timeout, "timed_out", count)
	})
}

// release ends the processing of a body.
func (b *Bodies) release(m *incomingBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Close(m.id)
}
