// Package estimate learns the run time and the size of job templates. The
// estimates order work and choose victims; they never replace a declared size.
package estimate

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// maxTemplates bounds the memory of a Learner; the oldest template goes first.
const maxTemplates = 4096

// unknownRuntime is assumed if nothing is declared or learned.
const unknownRuntime = 10 * time.Minute

// Learner keeps one Template for each name.
type Learner struct {
	templates map[string]*Template
	ring      []string
	next      int
}

// Template is what was measured of one template.
type Template struct {
	Runs int64
	// Mean is an exponential mean with weight 1/8 for the newest run.
	Mean time.Duration
	// Deviation is the mean deviation from Mean, with weight 1/4.
	Deviation time.Duration
	// Peak is the largest use that was measured.
	Peak resource.Vector
}

// New returns an empty Learner.
func New() *Learner { return &Learner{templates: map[string]*Template{}} }

// Observe adds one completed run.
func (l *Learner) Observe(name string, ran time.Duration, peak resource.Vector) {
	if name == "" {
		return
	}
	t := l.templates[name]
	if t == nil {
		t = &Template{Mean: ran, Deviation: ran / 2}
		l.add(name, t)
	}
	diff := ran - t.Mean
	t.Runs++
	t.Mean += diff / 8
	t.Deviation += (max(diff, -diff) - t.Deviation) / 4
	for _, p := range []struct{ have, got *int64 }{
		{&t.Peak.MilliCPU, &peak.MilliCPU}, {&t.Peak.MemoryMiB, &peak.MemoryMiB},
		{&t.Peak.Accelerators, &peak.Accelerators},
	} {
		*p.have = max(*p.have, *p.got)
	}
}

func (l *Learner) add(name string, t *Template) {
	if len(l.ring) < maxTemplates {
		l.ring = append(l.ring, name)
	} else {
		delete(l.templates, l.ring[l.next])
		l.ring[l.next] = name
		l.next = (l.next + 1) % maxTemplates
	}
	l.templates[name] = t
}

// Template returns what is known about a template.
func (l *Learner) Template(name string) (Template, bool) {
	if t := l.templates[name]; t != nil {
		return *t, true
	}
	return Template{}, false
}

// Runtime returns the expected run time and its upper bound. A learned value
// goes before the declared one.
func (l *Learner) Runtime(name string, declared time.Duration) (expected, bound time.Duration) {
	if t := l.templates[name]; t != nil {
		return t.Mean, t.Mean + 4*t.Deviation
	}
	if declared <= 0 {
		declared = unknownRuntime
	}
	return declared, 2 * declared
}

// Remaining returns the expected rest of a run of the given age. A run past
// its expected end is expected to take half its age again.
func (l *Learner) Remaining(name string, declared, age time.Duration) time.Duration {
	expected, _ := l.Runtime(name, declared)
	if age < expected {
		return expected - age
	}
	return age / 2
}
