// Package worker simulates worker agents for tests, the demo and measurements. It
// follows the rules that the scheduler assumes of a worker, simulates faults on
// command and keeps its own journal of executions, so that checks never rely on the
// scheduler's records.
package worker

import (
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Execution is the execution of one task attempt on a host.
type Execution struct {
	Host     string
	Attempt  work.AttemptID
	Size     resource.Vector
	Capacity resource.Vector
	// Token is the fencing token under which the task was started.
	Token uint64
	// Start and End are readings of the journal's clock; End is zero while
	// the task is running.
	Start   time.Duration
	End     time.Duration
	Ended   bool
	Outcome work.Outcome
}

// Journal records the executions on all hosts of a fleet with one clock. It is safe
// for concurrent use.
type Journal struct {
	mu         sync.Mutex
	clock      func() time.Duration
	executions []Execution
}

// NewJournal returns an empty journal with a clock.
func NewJournal(clock func() time.Duration) *Journal { return &Journal{clock: clock} }

// begin records the start of an execution and returns its index.
func (j *Journal) begin(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, e)
	return len(j.executions) - 1
}

// end records the end of an execution.
func (j *Journal) end(i int, at time.Duration, outcome work.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[i].End, j.executions[i].Ended, j.executions[i].Outcome = at, true, outcome
}

// Executions returns a copy of all executions in the order in which their starts
// were recorded.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution(nil), j.executions...)
}

// Now returns the reading of the journal's clock.
func (j *Journal) Now() time.Duration { return j.clock() }
