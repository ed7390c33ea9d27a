package node

import (
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
)

// admissionGate decides on submissions by the last summary that this node has read.
type admissionGate struct {
	node *Node
	gate admission.Gate

	mu    sync.Mutex
	reads admission.ReadTimes
}

// observe notes how far a read of the work topic reached.
func (a *admissionGate) observe(p worklog.Page) {
	if !p.Complete {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads.Add(p.End, p.AsOf)
}

// age returns an upper bound of the time since a summary was computed; negative if there is none.
func (a *admissionGate) age(l registry.Load) time.Duration {
	if l.Summary.Applied == 0 || l.Summary.Applied > l.Offset {
		return -1 // an owner cannot have applied its own record
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	notBefore, ok := a.reads.Before(l.Summary.Applied)
	if !ok {
		return -1
	}
	return a.node.clock.Now() - notBefore
}

// Decide implements front.Admission.
func (a *admissionGate) Decide(q admission.Request) *admission.Refusal {
	l, ok := a.node.registry.Load()
	if !ok {
		return nil
	}
	return a.gate.Decide(q, &l.Summary, a.age(l), a.node.clock.Now())
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
	return &admissionDump{Summary: l.Summary, Current: ok, Age: a.age(l).String(), Remembered: a.gate.Remembered()}
}
