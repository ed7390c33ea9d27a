// Package latency measures how long another process takes to answer. It reads no
// clock and decides nothing.
package latency

import (
	"sync"
	"time"
)

// decay is the weight of a new, shorter time in the smoothed time of an
// answer. A longer one counts at once, so that slowness is noticed with the first
// answer.
const decay = 0.3

// Meter measures the answers to the calls of this process. It is safe for concurrent
// use.
type Meter struct {
	mu       sync.Mutex
	smoothed time.Duration
	// open holds when the calls in flight were sent.
	open     map[int64]time.Duration
	lastCall int64
}

// New returns a meter without samples.
func New() *Meter { return &Meter{open: make(map[int64]time.Duration)} }

// Begin records that a call was sent. The call to the result records its end;
// answered is false if there was no answer, whose time is then unknown.
func (m *Meter) Begin(sent time.Duration) (end func(now time.Duration, answered bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCall++
	id := m.lastCall
	m.open[id] = sent
	return func(now time.Duration, answered bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.open, id)
		if answered {
			m.add(now - sent)
		}
	}
}

// Observe records how long an answer took.
func (m *Meter) Observe(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(took)
}

func (m *Meter) add(took time.Duration) {
	if took >= m.smoothed {
		m.smoothed = took
		return
	}
	m.smoothed += time.Duration(decay * float64(took-m.smoothed))
}

// AnswerTime returns how long an answer takes at present: the smoothed time, or
// the age of the oldest call in flight if that is longer.
func (m *Meter) AnswerTime(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.smoothed
	for _, sent := range m.open {
		longest = max(longest, now-sent)
	}
	return longest
}

// Smoothed returns the smoothed time of the answers so far.
func (m *Meter) Smoothed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.smoothed
}
