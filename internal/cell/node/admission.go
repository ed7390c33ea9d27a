package node

import (
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
)

// admissionGate decides on submissions by the last summary that this node has read.
type admissionGate struct {
	node *Node
	gate admission.Gate

	mu sync.Mutex
	// offset is that of the last summary, and notBefore a time at which it was not stored yet,
	// on the clock of this node; negative if there is no such time.
	offset    uint64
	notBefore time.Duration
}

// observe notes when a summary was read. asOf is the time of the last read before, after which
// the summary was stored; known is false if there was none, or the newest records were read,
// which may be of any age.
func (a *admissionGate) observe(asOf time.Duration, known bool) {
	l, _ := a.node.registry.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Offset == a.offset {
		return
	}
	if a.offset, a.notBefore = l.Offset, asOf; !known {
		a.notBefore = -1
	}
}

// age returns an upper bound of the age of a summary; negative if there is none.
func (a *admissionGate) age(offset uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset != a.offset || a.notBefore < 0 {
		return -1
	}
	return a.node.clock.Now() - a.notBefore
}

// Decide implements front.Admission.
func (a *admissionGate) Decide(q admission.Request) *admission.Refusal {
	l, ok := a.node.registry.Load()
	if !ok {
		return nil
	}
	return a.gate.Decide(q, &l.Summary, a.age(l.Offset), a.node.clock.Now())
}

// Refused implements front.Admission.
func (a *admissionGate) Refused(id string) { a.gate.Refused(id, a.node.clock.Now()) }

// Accepted implements front.Admission.
func (a *admissionGate) Accepted(id string) bool { return a.gate.Accepted(id) }

// admissionDump is what the node decides submissions on.
type admissionDump struct {
	Summary admission.Summary `json:"summary"`
	// Current is set if the summary is that of the present owner; Age bounds its age, negative
	// if it is not known.
	Current    bool   `json:"current"`
	Age        string `json:"age"`
	Remembered int    `json:"refused_remembered"`
}

func (a *admissionGate) dump() *admissionDump {
	if a == nil {
		return nil
	}
	l, ok := a.node.registry.Load()
	return &admissionDump{Summary: l.Summary, Current: ok, Age: a.age(l.Offset).String(), Remembered: a.gate.Remembered()}
}
