package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// errDown is the answer of a host that is not running; the connection is cut.
var errDown = eris.New("host is down")

// SetFaults replaces the faults of the agent.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	a.notify()
}

// Kill takes the host down. Its tasks end at once and their reports are gone.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.journal.Now()
	a.settle(now)
	for _, t := range a.tasks {
		a.journal.end(t.journal, now, work.Lost)
	}
	a.tasks = map[work.TaskID]*task{}
	a.finished = map[work.AttemptID]worker.Finished{}
	a.unreported = map[work.AttemptID]bool{}
	a.acked = map[work.AttemptID]time.Duration{}
	a.down = true
	a.notify()
}

// Restart brings the host back, empty and with a new incarnation.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down, a.leaving, a.paused = false, false, false
	a.incarnation++
	a.highestToken = 0
	a.notify()
}

// Pause freezes the host with all its tasks.
func (a *Agent) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.journal.Now()
	a.settle(now)
	a.paused, a.pausedAt = true, now
	a.notify()
}

// Resume unfreezes the host. A task whose lease ended meanwhile did nothing
// after the pause began, so its end is recorded there.
func (a *Agent) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.journal.Now()
	for _, t := range a.tasks {
		if t.leaseEnd <= now && !a.faults.IgnoreLeases {
			t.endsAt, t.outcome = a.pausedAt, work.Stopped
			continue
		}
		if t.endsAt != never {
			t.endsAt += now - a.pausedAt
		}
	}
	a.paused = false
	a.settle(now)
	a.notify()
}

// Leave makes the host refuse new tasks and say that it is leaving.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.notify()
}

// RunningTasks returns the number of tasks that run now.
func (a *Agent) RunningTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(a.journal.Now())
	return len(a.tasks)
}
