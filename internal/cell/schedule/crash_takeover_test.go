package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
)

// Guards against crash counts that a takeover forgets, against bystanders that are
// given up, and against suspected work that waits for ever, whatever else crashes.
func TestCrashesAreBoundedAcrossTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := crashCluster(rapid.IntRange(4, 12).Draw(t, "hosts"))
		jobs, takeovers, crashes := 0, 0, 0
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch e := rapid.IntRange(0, 9).Draw(t, "event"); {
			case e < 6:
				jobs++
				name := rapid.SampledFrom([]string{"sound", "sound", "sound", "deadly"}).Draw(t, "kind")
				step := smallStep(rapid.IntRange(1, 4).Draw(t, "tasks"), time.Duration(rapid.IntRange(300, 4000).Draw(t, "estimate"))*time.Millisecond)
				step.Gang = rapid.Bool().Draw(t, "gang")
				c.submit(fmt.Sprintf("%s%02d", name, jobs), "q", "a", step)
			case e == 6 && takeovers < 2:
				takeovers++
				c.replaceOwner()
				if !c.anyUnreachable() {
					c.s.MarkReconciled(c.now)
				}
			case e == 7 && crashes < 1:
				crashes++
				c.crash(rapid.SampledFrom(c.ids()).Draw(t, "host"))
			}
			c.advance(time.Duration(rapid.IntRange(5, 900).Draw(t, "ms")) * time.Millisecond)
		}
		for range 45 { // every crashed host is back and has answered the owner
			c.advance(100 * time.Millisecond)
		}
		c.s.MarkReconciled(c.now)
		if !c.stepUntilFinished(3000, 100*time.Millisecond) {
			t.Errorf("submissions are open after 300 s")
		}
		checkCrashes(t, c)
	})
}

// Guards against a new owner that begins to count again: the crashes under a task and
// its trial have to be on the log.
func TestCrashCountsSurviveTakeover(t *testing.T) {
	c := crashCluster(4)
	c.submit("deadly", "q", "a", smallStep(1, time.Second))
	takeOver := func() []cell.Crash {
		c.replaceOwner()
		for range 45 { // the crashed host is back and has answered
			c.now += 100 * time.Millisecond
			c.restartCrashed()
			c.pollHosts()
		}
		c.s.MarkReconciled(c.now)
		return c.s.jobs["deadly"].groups[0].tasks[0].evidence.Confirmed
	}
	c.advance(10 * time.Millisecond)
	for range 34 {
		c.advance(100 * time.Millisecond)
	}
	if got := takeOver(); c.crashes[cell.TaskID{Submission: "deadly"}] != 2 || len(got) != 2 {
		t.Errorf("%d hosts crashed under the task, %+v is known after the takeover, want 2", c.crashes[cell.TaskID{Submission: "deadly"}], got)
	}
	if !c.s.underTrial(c.s.jobs["deadly"]) {
		t.Error("the task is not suspected after the takeover")
	}
	if !c.stepUntilFinished(100, 100*time.Millisecond) {
		t.Error("the submission is open after 10 s")
	}
	checkCrashes(t, c)
	if got := c.crashes[cell.TaskID{Submission: "deadly"}]; got > crash.MaxCrashes {
		t.Errorf("%d hosts crashed under the task, want %d at most", got, crash.MaxCrashes)
	}
}

// Guards against a crash that a new owner counts for a trial whose outcome was known.
func TestTrialWithKnownOutcomeIsForgotten(t *testing.T) {
	c := crashCluster(3)
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, MaxAttempts: 9})
	c.fails = func(cell.TaskID, int64) bool { return true }
	c.submit("sound", "q", "a", smallStep(1, 100*time.Millisecond))
	c.s.jobs["sound"].suspected = true
	c.decide(nil)
	c.now += 200 * time.Millisecond
	c.endDueRuns()
	c.pollHosts() // the end is reported, and the next run has not been started
	if n := c.failed[cell.TaskID{Submission: "sound"}]; n != 1 {
		t.Fatalf("%d runs have failed, want 1", n)
	}
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	if got := c.s.jobs["sound"].groups[0].tasks[0].evidence.Confirmed; len(got) > 0 {
		t.Errorf("%+v is counted for a trial that ended as failed", got)
	}
}

// Guards against a submission that was started alone since its queue is confined, and
// that is not suspected after a takeover lost the outcome.
func TestLostOutcomeOfConfinedSubmissionMakesItASuspect(t *testing.T) {
	c := crashCluster(3)
	c.submit("job", "q", "a", smallStep(2, time.Second))
	c.s.jobs["job"].groups[0].tasks[0].trial.Run = 1
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	if !c.s.jobs["job"].suspected {
		t.Error("the submission is not suspected")
	}
}

// Guards against sound submissions that fail since several owners in a row were lost
// right after they had ordered a trial, though its host has not crashed.
func TestLostTrialOnHostThatDidNotCrashIsNotCounted(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := crashCluster(8)
		step := smallStep(12, time.Second)
		step.Gang = gang
		c.submit("sound", "q", "a", step)
		for range crash.MaxCrashes {
			c.s.jobs["sound"].suspected = true
			c.decide(func(Start) int { return 2 }) // the orders are lost with the owner
			if c.s.jobs["sound"].groups[0].tasks[0].trial.Run == 0 {
				t.Fatalf("gang %t: no trial has begun", gang)
			}
			c.replaceOwner()
			c.s.MarkReconciled(c.now)
			c.now += 100 * time.Millisecond
		}
		j := c.s.jobs["sound"]
		if got := j.groups[0].tasks[0].evidence.Confirmed; len(got) > 0 || j.state.Final() {
			t.Errorf("gang %t: the submission is %s, and %d crashes are counted, though no host has crashed", gang, j.state, len(got))
		}
	}
}

// Guards against a trial that counts for nothing after a takeover, since its host has not
// answered the new owner, or whose cause is taken for known then.
func TestLostTrialOnUnreachableHostCountsInPart(t *testing.T) {
	c := crashCluster(3)
	c.submit("job", "q", "a", smallStep(1, time.Second))
	c.s.jobs["job"].suspected = true
	c.decide(nil)
	for _, h := range c.hosts {
		h.unreachable, h.runs = true, nil
	}
	c.replaceOwner()
	c.s.MarkReconciled(c.now) // the leases have expired
	j := c.s.jobs["job"]
	if got := j.groups[0].tasks[0].evidence.Confirmed; len(got) != 1 || !got[0].Silent || j.suspected {
		t.Errorf("%+v is counted, suspected is %t", got, j.suspected)
	}
}

// Guards against other work that a new owner starts beside a task under trial: if it
// crashed the host and that owner was lost as well, the trial was blamed alone.
func TestTrialContinuesAfterTakeover(t *testing.T) {
	c := crashCluster(3)
	c.submit("suspect", "q", "a", smallStep(1, 3*time.Second))
	c.s.jobs["suspect"].suspected = true
	c.decide(nil)
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	c.submit("other", "q", "a", smallStep(4, time.Second))
	c.advance(time.Millisecond)
	if n := c.running("other"); n != 4 {
		t.Fatalf("%d of 4 other tasks run on the two hosts without a trial", n)
	}
	for _, h := range c.hosts {
		if len(h.runs) > 1 && h.runs[0].task.Submission == "suspect" {
			t.Errorf("%d tasks have been started beside a task under trial", len(h.runs)-1)
		}
	}
	c.advance(trial.Duration + 100*time.Millisecond)
	if a := c.s.jobs["suspect"]; a.groups[0].tasks[0].trial.Run != 0 {
		t.Error("the trial has not ended, though its task has run for long enough")
	}
}

// Guards against sound work that is suspected, and a queue that is confined, since hosts
// crash right after a takeover: the runs there were first seen by the new owner just before.
func TestCrashRightAfterTakeoverShowsNoRecentStart(t *testing.T) {
	for _, silent := range []bool{false, true} {
		c := crashCluster(6)
		c.submit("sound", "q", "a", smallStep(40, 10*time.Second))
		for range 20 {
			c.advance(100 * time.Millisecond)
		}
		c.replaceOwner()
		c.s.MarkReconciled(c.now)
		c.now += 50 * time.Millisecond
		for _, id := range c.ids()[:3] {
			if silent {
				c.crashSilently(id)
			} else {
				c.crash(id)
			}
		}
		j := c.s.jobs["sound"]
		if j.suspectedRuns > 0 || c.s.risk(j).Crashes > 0 {
			t.Errorf("silent %t: %d runs and %.1f crashes of the queue count as recent", silent, j.suspectedRuns, c.s.risk(j).Crashes)
		}
		for range 40 {
			c.advance(100 * time.Millisecond)
		}
		for _, task := range j.groups[0].tasks {
			if silent && len(task.evidence.Confirmed) > 0 || !silent && len(task.evidence.Confirmed) > 0 && task.evidence.Confirmed[0].Recent {
				t.Errorf("silent %t: %+v is counted", silent, task.evidence.Confirmed)
				break
			}
		}
	}
}

// Guards against runs that count as started right before a crash, since an earlier owner
// recorded them when it closed their host.
func TestRecordedRunsOnRestartedHostCountNoCrash(t *testing.T) {
	c := crashCluster(3)
	c.submit("sound", "q", "a", smallStep(1, 10*time.Second))
	c.decide(nil)
	id := c.hostOf("sound")
	run := c.hosts[id].runs[0]
	c.crashSilently(id)
	c.replaceOwner()
	c.s.AssumeRunPresent(id, Run{Task: run.task, Run: run.run}, c.now)
	c.s.MarkReconciled(c.now)
	c.s.MarkRestarted(id, c.now, c.now)
	c.advance(100 * time.Millisecond)
	if got := c.s.jobs["sound"].groups[0].tasks[0].evidence.Confirmed; len(got) > 0 || c.running("sound") != 1 {
		t.Errorf("%+v is counted, %d tasks run", got, c.running("sound"))
	}
}

// Guards against a trial that counts only in part after a takeover, though its host is known
// to have restarted or is not listed any more.
func TestLostTrialOnLostHostCountsInFull(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, id string){
		"answers as another instance": func(c *cluster, id string) {
			c.s.MarkRestarted(id, c.now, c.now)
		},
		"is not listed any more": func(c *cluster, id string) {
			c.s.SetListedHosts(nil)
			c.s.MarkAllRunsGone(id, c.now)
			if !c.s.RemoveHost(id) {
				t.Fatal("the host is not removed")
			}
		},
	} {
		c := crashCluster(3)
		c.submit("job", "q", "a", smallStep(1, time.Second))
		c.s.jobs["job"].suspected = true
		c.decide(nil)
		id := c.hostOf("job")
		c.hosts[id].unreachable, c.hosts[id].runs = true, nil
		c.replaceOwner()
		lose(c, id)
		c.s.MarkReconciled(c.now)
		if got := c.s.jobs["job"].groups[0].tasks[0].evidence.Confirmed; len(got) != 1 || got[0].Silent || !c.s.jobs["job"].suspected {
			t.Errorf("%s: %+v is counted, suspected is %t", name, got, c.s.jobs["job"].suspected)
		}
	}
}

// Guards against a trial that counts for nothing, since an earlier owner had recorded its
// run when it closed the host, which then restarted.
func TestRecordedTrialOnRestartedHostCounts(t *testing.T) {
	c := crashCluster(3)
	c.submit("job", "q", "a", smallStep(1, time.Second))
	c.s.jobs["job"].suspected = true
	c.decide(nil)
	id := c.hostOf("job")
	run := c.hosts[id].runs[0]
	c.crashSilently(id)
	c.replaceOwner()
	c.s.AssumeRunPresent(id, Run{Task: run.task, Run: run.run}, c.now)
	c.s.MarkReconciled(c.now)
	c.s.MarkRestarted(id, c.now, c.now)
	if got := c.s.jobs["job"].groups[0].tasks[0].evidence.Confirmed; len(got) != 1 {
		t.Errorf("%+v is counted, want one crash", got)
	}
}
