package owner

import (
	"fmt"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// ledgerStart is one start of a task.
type ledgerStart struct {
	at   time.Duration
	host string
	run  int64
}

// runLedger checks the starts and ends on all hosts: no task runs twice at one time, and none
// starts after an end as done that is acknowledged then or later.
type runLedger struct {
	now    func() time.Duration
	hosts  []*protocolHost
	starts map[cell.TaskID][]ledgerStart
	// done holds when each task first ended as done by an acknowledged end.
	done       map[cell.TaskID]time.Duration
	trace      []string
	violations []string
}

func newRunLedger(now func() time.Duration) *runLedger {
	return &runLedger{now: now, starts: make(map[cell.TaskID][]ledgerStart), done: make(map[cell.TaskID]time.Duration)}
}

func (l *runLedger) note(format string, args ...any) {
	l.trace = append(l.trace, fmt.Sprintf("%7.3f ", l.now().Seconds())+fmt.Sprintf(format, args...))
}

func (l *runLedger) violation(format string, args ...any) {
	l.note("VIOLATION "+format, args...)
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// started checks a start before it takes effect.
func (l *runLedger) started(h *protocolHost, task cell.TaskID, run int64, now time.Duration) {
	l.note("%s: %s run %d starts, lease until %s", h.id, task, run, h.expiry())
	for _, o := range l.hosts {
		if !o.up {
			continue
		}
		o.advance(now)
		for _, r := range o.runs {
			if r.task == task {
				l.violation("%s runs twice: run %d on %s, run %d on %s", task, r.run, o.id, run, h.id)
			}
		}
	}
	if at, ok := l.done[task]; ok && at < now {
		l.violation("%s starts on %s although it ended as done at %s", task, h.id, at)
	}
	l.starts[task] = append(l.starts[task], ledgerStart{now, h.id, run})
}

// acknowledged records an end that a host forgets. lapsed is set if the lease has lapsed since.
func (l *runLedger) acknowledged(h *protocolHost, e protocolEnd, lapsed bool) {
	if e.Outcome != cell.OutcomeDone || lapsed {
		return
	}
	l.note("%s: the end of %s run %d as done is acknowledged", h.id, e.Task, e.Run)
	for _, s := range l.starts[e.Task] {
		if s.at > e.at {
			l.violation("%s started on %s at %s, and its end as done at %s is acknowledged", e.Task, s.host, s.at, e.at)
		}
	}
	if at, ok := l.done[e.Task]; !ok || e.at < at {
		l.done[e.Task] = e.at
	}
}
