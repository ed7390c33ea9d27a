package latency

import (
	"testing"
	"time"
)

// Guards against a service that counts as slow long after it has become fast, and
// against one that counts as fast while no answer comes.
func TestMeter(t *testing.T) {
	m := New()
	m.Observe(time.Second)
	for range 20 {
		m.Observe(4 * time.Millisecond)
	}
	if got := m.AnswerTime(0); got > 20*time.Millisecond {
		t.Errorf("%s after 20 fast answers", got)
	}
	end := m.Begin(10 * time.Second)
	if got := m.AnswerTime(12 * time.Second); got != 2*time.Second {
		t.Errorf("%s while a call is open for 2 s", got)
	}
	end(13*time.Second, false)
	if got := m.AnswerTime(13 * time.Second); got > 20*time.Millisecond {
		t.Errorf("%s after a call without an answer", got)
	}
}
