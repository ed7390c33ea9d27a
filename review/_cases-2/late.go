package main

import (
	"sync"
	"time"
)

const (
	lateTask     = "00000000000000a1.0.0.0"
	lateBy       = 11500 * time.Millisecond
	crashAfter   = 1000 * time.Millisecond
	downFor      = 8800 * time.Millisecond
	lateTaskTime = 20 * time.Second
)

// lateOrder holds the first start order of a task back in the network for lateBy, within
// which the runner crashes, is delisted, and is back under its ID and at its address.
func lateOrder(w *world) {
	w.publish(1)
	w.outcomeOf = func(string) outcome { return outcome{lateTaskTime, "done"} }
	var once sync.Once
	held := make(chan *host, 1)
	w.holdBack = func(h *host, path string, c call) (d time.Duration) {
		if w.trouble && path == "/run-start" && c.Task == lateTask {
			once.Do(func() { d = lateBy; held <- h })
		}
		return d
	}
	w.startHosts(8)
	w.startEntries(3)
	w.waitOwner()
	time.Sleep(12 * time.Second) // runners' clocks pass what a new lifetime will show
	w.submit("/batch/00000000000000a1", "key-a", `{"spec":"digest","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":20000}]}`)
	if w.trouble {
		select {
		case h := <-held:
			time.Sleep(crashAfter)
			h.crash()
			time.Sleep(downFor)
			h.start()
		case <-time.After(10 * time.Second):
			w.cannotRun("the task was not started")
		}
	}
	done := func() bool {
		for _, r := range w.runsOf(lateTask) {
			if r.how == "done" {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && !done(); {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if !done() {
		w.cannotRun("the task was not done within 60 s")
	}
	broken := false
	runs := w.runsOf(lateTask)
	for i, a := range runs {
		w.record("run %d on %s from %.3f to %.3f: %s", a.run, a.host, a.start.Seconds(), a.end.Seconds(), a.how)
		for _, b := range runs[i+1:] {
			if b.start < a.end || a.end == 0 {
				broken = true
				w.record("TWICE: run %d on %s began %s before run %d on %s had ended", b.run, b.host, (a.end - b.start).Round(time.Millisecond), a.run, a.host)
			}
		}
	}
	w.finish(broken, "the task had %d runs", len(runs))
}
