package main

import (
	"strings"
	"time"
)

const (
	deadlyID     = "00000000000000d1"
	deadlyAfter  = 30 * time.Millisecond
	deadlyDark   = 7 * time.Second
	deadlySpan   = 75 * time.Second
	deadlyRunner = 16
	// After deadlyCrashes crashes the task may be started fewer than deadlyMore times more.
	deadlyCrashes, deadlyMore = 3, 3
)

// deadlyTask hands in a submission whose task crashes each runner that starts it. The runner
// is silent, and back after some seconds.
func deadlyTask(w *world) {
	w.publish(1)
	w.outcomeOf = func(task string) outcome { return outcome{5 * time.Second, "done"} }
	w.onStart = func(h *host, task string) {
		if w.trouble && strings.HasPrefix(task, deadlyID) {
			time.AfterFunc(deadlyAfter, func() { h.goDark(deadlyDark) })
		}
	}
	w.startHosts(deadlyRunner)
	w.startEntries(3)
	w.waitOwner()
	time.Sleep(2 * time.Second)
	w.submit("/batch/"+deadlyID, "key-a", `{"spec":"bad driver","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":5000}]}`)
	time.Sleep(deadlySpan)
	status, answer := w.send(w.entries[0], "GET", "/batch/"+deadlyID, "key-a", "")
	runs := w.runsOf(deadlyID + ".0.0.0")
	for _, r := range runs {
		w.record("run %d on %s from %.3f to %.3f: %s", r.run, r.host, r.start.Seconds(), r.end.Seconds(), r.how)
	}
	if len(runs) == 0 {
		w.cannotRun("the task was not started")
	}
	crashed := 0
	for _, r := range runs {
		if r.how == "crashed" {
			crashed++
		}
	}
	w.finish(crashed >= deadlyCrashes+deadlyMore, "%d starts, %d runners have crashed under the task; its state is %d %s", len(runs), crashed, status, answer)
}
