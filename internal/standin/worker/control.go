package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// errDown is the error of an exchange with a host that is not running; the fleet
// then closes the connection.
var errDown = eris.New("host is down")

// SetFaults replaces the faults that the agent simulates.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	a.notify()
}

// Kill crashes the host. Its tasks end at once, and all reports are lost.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.journal.Now()
	a.endDueTasks(now)
	for _, t := range a.tasks {
		a.journal.end(t.journalIndex, now, work.Lost)
	}
	a.tasks = map[work.TaskID]*task{}
	a.finished = map[work.AttemptID]worker.Finished{}
	a.unreported = map[work.AttemptID]bool{}
	a.ackedUntil = map[work.AttemptID]time.Duration{}
	a.down = true
	a.notify()
}

// Restart starts the host again, without tasks and with a new incarnation.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down, a.leaving, a.paused = false, false, false
	a.incarnation++
	a.highestToken = 0
	a.notify()
}

// Pause suspends the host and all its tasks.
func (a *Agent) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.journal.Now()
	a.endDueTasks(now)
	a.paused, a.pausedAt = true, now
	a.notify()
}

// Resume resumes a paused host. A task whose lease expired during the pause did
// nothing after the pause began, so the beginning of the pause is recorded as its
// end.
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
	a.endDueTasks(now)
	a.notify()
}

// Leave makes the host refuse new tasks and report that it is leaving.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.notify()
}

// RunningTasks returns the number of tasks that are running.
func (a *Agent) RunningTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endDueTasks(a.journal.Now())
	return len(a.tasks)
}
