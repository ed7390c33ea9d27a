package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// repeatedTest is a cluster of two hosts with one task, which has been started on one of them.
type repeatedTest struct {
	*cluster
	t    *testing.T
	task cell.TaskID
	// first is the host of the first run.
	first *fakeHost
}

func newRepeatedTest(t *testing.T, step cell.Step) *repeatedTest {
	r := &repeatedTest{cluster: newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}), t: t, task: cell.TaskID{Submission: "x"}}
	r.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	step.Count, step.Size, step.Estimate = 1, resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, time.Hour
	r.submit("x", "q", "a", step)
	r.first = r.start()
	return r
}

// start makes a decision that starts the task and returns the host.
func (r *repeatedTest) start() *fakeHost {
	r.t.Helper()
	before := r.running("x")
	r.decide(nil)
	r.now += 10 * time.Millisecond
	for _, id := range r.ids() {
		if h := r.hosts[id]; len(h.runs) > 0 && h != r.first && r.running("x") > before {
			return h
		}
	}
	r.t.Fatal("the task is not started")
	return nil
}

// expireLease cuts the first host off until its leases count as expired.
func (r *repeatedTest) expireLease() {
	r.first.unreachable = true
	r.s.MarkUnreachable(r.first.id)
	r.s.MarkAllRunsGone(r.first.id, r.now)
	r.now += time.Second
}

// answer lets the first host answer again.
func (r *repeatedTest) answer() {
	r.first.unreachable = false
	r.pollHosts()
}

// end ends the run on a host as done.
func (r *repeatedTest) end(h *fakeHost) {
	r.endRun(h, h.runs[0])
	h.runs = nil
}

func (r *repeatedTest) repetitions() (out []*RepeatedRun) {
	for _, m := range r.s.TakeLogMessages() {
		if m.Repeated != nil {
			out = append(out, m.Repeated)
		}
	}
	return out
}

// Guards against a task that has run twice and leaves nothing in the log and the metrics that
// shows it, or why the first run was taken as gone.
func TestRepeatedRunIsReported(t *testing.T) {
	for kind, c := range [RepetitionKinds]struct {
		happens func(r *repeatedTest)
		// state and other are the expected states of both runs.
		state, other string
	}{
		TwoPresent: {func(r *repeatedTest) {
			r.expireLease()
			r.start()
		}, "gone", "running"},
		PresentAfterDone: {func(r *repeatedTest) {
			r.expireLease()
			r.end(r.start())
			r.pollHosts()
		}, "gone", "done"},
		DoneBesideAnother: {func(r *repeatedTest) {
			r.expireLease()
			r.start()
			r.end(r.first)
		}, "gone", "running"},
		DoneTwice: {func(r *repeatedTest) {
			r.expireLease()
			r.end(r.start())
			r.pollHosts()
			r.end(r.first)
		}, "gone", "done"},
		GivenUpDone: {func(r *repeatedTest) {
			r.expireLease()
			r.end(r.first)
		}, "gone", ""},
		GivenUpPresent: {(*repeatedTest).expireLease, "gone", ""},
	} {
		t.Run(Repetition(kind).String(), func(t *testing.T) {
			r := newRepeatedTest(t, cell.Step{})
			c.happens(r)
			r.answer()
			list := r.repetitions()
			if len(list) != 1 {
				t.Fatalf("%d messages, want 1", len(list))
			}
			got := list[0]
			if got.Kind != Repetition(kind) || got.Task != r.task || got.Run.State != c.state || got.Other.State != c.other {
				t.Errorf("the message is %+v", got)
			}
			if !got.Run.HostAnswers || c.other != "" && !got.Other.HostAnswers {
				t.Errorf("a host counts as silent in %+v", got)
			}
			if got.Run.Host != r.first.id || got.Run.Earlier || got.Run.Gone != GoneLeaseExpired || got.Run.GoneAgo < time.Second {
				t.Errorf("of the first run it says %+v", got.Run)
			}
			if c.other != "" && (got.Other.Run <= got.Run.Run || got.Other.Host == got.Run.Host || got.Other.Earlier) {
				t.Errorf("of the other run it says %+v", got.Other)
			}
		})
	}
}

// Guards against a second end that nobody sees, since the submission has been completed and
// removed meanwhile.
func TestSecondEndAfterTheRemovalOfTheSubmissionIsReported(t *testing.T) {
	r := newRepeatedTest(t, cell.Step{})
	r.expireLease()
	r.end(r.start())
	r.pollHosts()
	if !r.s.RemoveSubmission("x") {
		t.Fatal("the submission is not removed")
	}
	r.end(r.first)
	r.answer()
	if list := r.repetitions(); len(list) != 1 || list[0].Kind != DoneTwice || list[0].JobKnown {
		t.Errorf("the messages are %+v", list)
	}
}

// Guards against a line with each report of a host on which a run of a removed submission is.
func TestRepeatedRunIsReportedOnce(t *testing.T) {
	r := newRepeatedTest(t, cell.Step{})
	r.expireLease()
	r.end(r.start())
	r.pollHosts()
	if !r.s.RemoveSubmission("x") {
		t.Fatal("the submission is not removed")
	}
	r.answer()
	r.pollHosts()
	if list := r.repetitions(); len(list) != 1 || list[0].Kind != PresentAfterDone {
		t.Errorf("the messages are %+v", list)
	}
}

// Guards against reports of steps whose tasks may have several runs.
func TestCopiesAreNoRepeatedRuns(t *testing.T) {
	r := newRepeatedTest(t, cell.Step{AllowCopies: true})
	r.expireLease()
	r.start()
	r.answer()
	r.end(r.first)
	r.pollHosts()
	if list := r.repetitions(); len(list) > 0 {
		t.Errorf("the messages are %+v", list)
	}
}

// Guards against reports of the same end by a host that lists it again, and of runs that an
// earlier owner started.
func TestTakeoverIsNoRepeatedRun(t *testing.T) {
	r := newRepeatedTest(t, cell.Step{})
	r.replaceOwner()
	r.end(r.first)
	ended := r.first.ended
	r.pollHosts()
	r.first.startedMs++ // as if the host had been removed and were back
	r.first.ended = ended
	r.pollHosts()
	if list := r.repetitions(); len(list) > 0 {
		t.Errorf("the messages are %+v", list)
	}
}

// Guards against a message that gives a wrong reason why a run was taken as gone.
func TestReasonWhyARunIsGone(t *testing.T) {
	for want, happens := range map[GoneReason]func(r *repeatedTest, a *taskRun){
		GoneLeaseExpired:  func(r *repeatedTest, _ *taskRun) { r.s.MarkAllRunsGone(r.first.id, r.now) },
		GoneOtherInstance: func(r *repeatedTest, _ *taskRun) { r.s.MarkRestarted(r.first.id, r.now, r.now) },
		GoneHostRestarted: func(r *repeatedTest, _ *taskRun) { r.restart(r.first.id); r.pollHosts() },
		GoneNotReported:   func(r *repeatedTest, _ *taskRun) { r.first.runs = nil; r.pollHosts() },
		GoneStopAccepted: func(r *repeatedTest, a *taskRun) {
			r.s.stop(a, "test")
			r.s.StopAccepted(r.first.id, r.task, a.run, r.now, r.now)
			r.now += time.Millisecond
			r.first.runs = nil
			r.pollHosts()
		},
		GoneRefused: func(r *repeatedTest, a *taskRun) { r.s.Refused(r.first.id, r.task, a.run, RefusedOther, r.now) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			r := newRepeatedTest(t, cell.Step{})
			a := r.s.task(r.task).runs[0]
			happens(r, a)
			if got := r.s.reportedRun(a.host, runKey{r.task, a.run}); got.Gone != want || got.State != "gone" {
				t.Errorf("it says %+v", got)
			}
		})
	}
}

// Guards against a run of an earlier owner of which nobody can tell why it was not waited for.
func TestReasonWhyEarlierRunsAreGone(t *testing.T) {
	for want, happens := range map[GoneReason]func(r *repeatedTest){
		GoneHostClosed:    func(r *repeatedTest) { r.s.CloseHost(r.first.id) },
		GoneLeaseExpired:  func(r *repeatedTest) { r.s.MarkReconciled(r.now) },
		GoneOtherInstance: func(r *repeatedTest) { r.s.MarkRestarted(r.first.id, r.now, r.now) },
		GoneNotReported:   func(r *repeatedTest) { r.s.ApplyReport(r.first.id, r.now, r.now, cell.HostReport{StartedMs: 1}) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			r := newRepeatedTest(t, cell.Step{})
			r.first.unreachable = true
			r.replaceOwner()
			happens(r)
			r.s.MarkUnreachable(r.first.id)
			r.s.MarkReconciled(r.now)
			r.now += time.Second
			r.start()
			r.answer()
			list := r.repetitions()
			if len(list) != 1 || list[0].Kind != TwoPresent || !list[0].BeforeClaim {
				t.Fatalf("the messages are %+v", list)
			}
			if got := list[0].Run; !got.Earlier || got.Gone != want || got.GoneAgo < time.Second || got.State != unknownRunState {
				t.Errorf("it says %+v", got)
			}
		})
	}
}

// Guards against a message after each takeover from an owner that had closed a host: a run in the
// record of that host may have ended before.
func TestRunInTheRecordOfAClosedHostIsNoRepetition(t *testing.T) {
	r := newRepeatedTest(t, cell.Step{})
	run := r.first.runs[0].run
	r.replaceOwner()
	for _, id := range r.ids() {
		if id != r.first.id {
			r.s.AssumeRunPresent(id, Run{Task: r.task, Run: run - 1}, r.now)
		}
	}
	r.pollHosts()
	if got := r.repetitions(); len(got) > 0 {
		t.Errorf("reported %+v, want nothing: one run is present", got[0])
	}
}
