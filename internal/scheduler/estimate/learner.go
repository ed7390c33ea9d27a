// Package estimate learns the run time and the resource use of job templates from
// completed runs. The estimates are used to order work and to select tasks for
// preemption; they must never replace a declared size.
package estimate

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// maxTemplates bounds the templates of a Learner; the one added first is evicted.
const maxTemplates = 4096

// defaultRuntime is the expected run time if none is declared or learned.
const defaultRuntime = 10 * time.Minute

// Learner holds the measurements of each template by name.
type Learner struct {
	templates map[string]*Template
	// insertionOrder is a ring buffer of the template names. Once it is full,
	// oldest is the index of the one that is evicted next.
	insertionOrder []string
	oldest         int
}

// Template holds the measurements of one job template.
type Template struct {
	Runs int64
	// Mean is the exponential moving mean of the run time, with weight 1/8 for the
	// newest run.
	Mean time.Duration
	// Deviation is the exponential moving mean of the absolute deviation from
	// Mean, with weight 1/4 for the newest run.
	Deviation time.Duration
	// Peak is the largest measured use of each resource.
	Peak resource.Vector
}

// New returns an empty Learner.
func New() *Learner { return &Learner{templates: map[string]*Template{}} }

// Observe adds the measurements of one completed run. A run without a template
// name is ignored.
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
	if len(l.insertionOrder) < maxTemplates {
		l.insertionOrder = append(l.insertionOrder, name)
	} else {
		delete(l.templates, l.insertionOrder[l.oldest])
		l.insertionOrder[l.oldest] = name
		l.oldest = (l.oldest + 1) % maxTemplates
	}
	l.templates[name] = t
}

// Template returns the measurements of a template, if there are any.
func (l *Learner) Template(name string) (Template, bool) {
	if t := l.templates[name]; t != nil {
		return *t, true
	}
	return Template{}, false
}

// Runtime returns the expected run time and an upper bound for it. A learned value
// takes precedence over the declared one.
func (l *Learner) Runtime(name string, declared time.Duration) (expected, bound time.Duration) {
	if t := l.templates[name]; t != nil {
		return t.Mean, t.Mean + 4*t.Deviation
	}
	if declared <= 0 {
		declared = defaultRuntime
	}
	return declared, 2 * declared
}

// Remaining returns the expected remaining time of a run of the given age. A run
// that exceeds its expected run time is expected to take another half of its age.
func (l *Learner) Remaining(name string, declared, age time.Duration) time.Duration {
	expected, _ := l.Runtime(name, declared)
	if age < expected {
		return expected - age
	}
	return age / 2
}
