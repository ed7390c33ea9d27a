package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Repetition tells how a task without copies was found to have, or to have had, more runs than
// it may. The owner counts them by kind.
type Repetition uint8

// The kinds of repetition.
const (
	// TwoPresent means that a host reports a run as present while another one is attached.
	TwoPresent Repetition = iota
	// PresentAfterDone means that a run is present although another one had ended as done.
	PresentAfterDone
	// DoneBesideAnother means that a run has ended as done while another one is attached.
	DoneBesideAnother
	// DoneTwice means that two runs have ended as done.
	DoneTwice
	// GivenUpDone means that a run which had been taken as gone has ended as done.
	GivenUpDone
	// GivenUpPresent means that a run which had been taken as gone is present.
	GivenUpPresent
	// RepetitionKinds is the number of kinds.
	RepetitionKinds
)

var repetitionNames = [...]string{"two_present", "present_after_done", "done_beside_another", "done_twice", "given_up_done", "given_up_present"}

var repetitionTexts = [...]string{
	"Two runs of a task are present.",
	"A run is present of a task that another run has done.",
	"A run has ended as done while another run of its task was present.",
	"A run has ended as done of a task that another run has done.",
	"A run that had been taken as gone has ended as done.",
	"A run that had been taken as gone is present.",
}

// String returns the name of the kind for metrics.
func (r Repetition) String() string { return repetitionNames[r] }

// RunFacts is what is known of a run at the moment of a message.
type RunFacts struct {
	// Run is zero if the run is not known.
	Run  int64
	Host string
	// State is what the owner knew of the run before.
	State string
	// HostAnswers is set while the host answers.
	HostAnswers bool
	// Earlier is set for a run that an earlier owner has ordered.
	Earlier bool
	// Gone is why the run had been taken as gone, GoneAgo for how long. For a run of an earlier
	// owner that was never known it is why its host was taken to have no more of them.
	Gone    GoneReason
	GoneAgo time.Duration
}

// RepeatedRun is evidence that a task without copies has run twice, or might have.
type RepeatedRun struct {
	Kind Repetition
	Task cell.TaskID
	// Run is the run that a host has reported, Other the other one of the task, zero if none
	// is known.
	Run, Other RunFacts
	// JobKnown is set while the submission is held; BeforeClaim if it was taken to be older than
	// the claim of this owner, so that nothing of it was started before earlier runs were known.
	JobKnown, BeforeClaim bool
}

// unknownRunState is the state of a run of which the owner knew nothing.
const unknownRunState = "unknown"

var phaseNames = [...]string{phaseStarting: "starting", phaseUnanswered: "unanswered", phaseRunning: "running", phaseStopping: "stopping"}

func (h *host) answers() bool { return h.reachable && !h.silent }

// attachedRun returns what is known of a run that is attached.
func (s *Scheduler) attachedRun(a *taskRun) RunFacts {
	return RunFacts{Run: a.run, Host: a.host.spec.ID, HostAnswers: a.host.answers(), State: phaseNames[a.phase], Earlier: a.run <= s.options.RunNumberBase}
}

// reportedRun returns what was known of a run that a host reports and that is not attached.
func (s *Scheduler) reportedRun(h *host, key runKey) RunFacts {
	f := RunFacts{Run: key.run, Host: h.spec.ID, HostAnswers: h.answers(), State: unknownRunState, Earlier: key.run <= s.options.RunNumberBase}
	g, ok := s.history.givenUp.get(hostRun{key, h.spec.ID})
	if ok {
		f.State = "gone"
	} else if f.Earlier {
		g = h.earlierRunsGone
	}
	if g.reason != NotGone {
		f.Gone, f.GoneAgo = g.reason, s.now-g.at
	}
	return f
}

// doneBy returns what is known of the run by which a task is done.
func (s *Scheduler) doneBy(id cell.TaskID) (f RunFacts, ok bool) {
	d, ok := s.history.done.get(id)
	if ok {
		h := s.hosts[d.host]
		f = RunFacts{Run: d.run, Host: d.host, HostAnswers: h != nil && h.answers(), State: "done", Earlier: d.run <= s.options.RunNumberBase}
	}
	return f, ok
}

// auditPresent reports a run that is listed as present and was not attached, if the task should
// have no more runs. It is called before the run is attached; t is nil if the task is not held.
func (s *Scheduler) auditPresent(h *host, key runKey, t *task) {
	if t != nil && t.group.step.AllowCopies {
		return
	}
	run := s.reportedRun(h, key)
	done, known := s.doneBy(key.task)
	other := t.otherRun(key.run)
	switch {
	case known && done.Run != key.run, t != nil && t.done && !known && !t.group.step.Gang:
		s.reportRepetition(PresentAfterDone, key.task, t, run, done)
	case other != nil:
		s.reportRepetition(TwoPresent, key.task, t, run, s.attachedRun(other))
	case run.State == "gone":
		s.reportRepetition(GivenUpPresent, key.task, t, run, RunFacts{})
	}
}

// auditDone reports a run that is listed as ended as done, if its task has another run or the run
// had been taken as gone. It is called before the end is applied; a is the run if it is attached, t
// is nil if the task is not held.
func (s *Scheduler) auditDone(h *host, key runKey, t *task, a *taskRun) {
	if t != nil && (t.group.step.AllowCopies || t.group.step.LongRunning) {
		return
	}
	run := s.reportedRun(h, key)
	if a != nil {
		run = s.attachedRun(a)
	}
	done, known := s.doneBy(key.task)
	other := t.otherRun(key.run)
	switch {
	case known && done.Run != key.run:
		s.reportRepetition(DoneTwice, key.task, t, run, done)
	case other != nil:
		s.reportRepetition(DoneBesideAnother, key.task, t, run, s.attachedRun(other))
	case run.State == "gone":
		s.reportRepetition(GivenUpDone, key.task, t, run, RunFacts{})
	}
}

// otherRun returns an attached run of the task that has another number; nil if there is none.
// One that only the record of a closed host names is left out: no host has reported it.
func (t *task) otherRun(run int64) *taskRun {
	if t == nil {
		return nil
	}
	for _, a := range t.runs {
		if a.run != run && !a.isAssumed() {
			return a
		}
	}
	return nil
}

// isAssumed reports whether only the record of an earlier owner names the run.
func (a *taskRun) isAssumed() bool { return a.adopted && a.acceptedAt == 0 }

// reportRepetition passes a repetition to the log, once for each run on a host.
func (s *Scheduler) reportRepetition(kind Repetition, id cell.TaskID, t *task, run, other RunFacts) {
	key := hostRun{runKey{id, run.Run}, run.Host}
	if last, ok := s.history.reported.get(key); ok && last == kind {
		return
	}
	s.history.reported.set(key, kind)
	r := &RepeatedRun{Kind: kind, Task: id, Run: run, Other: other}
	if t != nil {
		r.JobKnown, r.BeforeClaim = true, t.group.job.beforeClaim
	}
	s.logMessages = append(s.logMessages, LogMessage{Submission: id.Submission, Host: run.Host, Text: repetitionTexts[kind], Repeated: r})
}
