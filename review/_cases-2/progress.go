package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	progressID          = "00000000000000c1"
	progressOccurrences = 7000
	progressTaskTime    = 150 * time.Millisecond
	progressLongTime    = 75 * time.Second
	progressWait        = 55 * time.Second
	afterKill           = 12 * time.Second
)

// lostProgress hands in one submission with many occurrences that overlap. Each has one task
// that ends at once and one that takes long. Once all of the first kind have ended and
// their ends have been taken note of, the owner is killed.
func lostProgress(w *world) {
	w.quiet = true
	w.publish(1)
	short := func(task string) bool { return strings.HasSuffix(task, ".0") }
	w.outcomeOf = func(task string) outcome {
		if short(task) {
			return outcome{progressTaskTime, "done"}
		}
		return outcome{progressLongTime, "done"}
	}
	w.startHosts(24)
	w.startEntries(3)
	owner := w.waitOwner()
	time.Sleep(2 * time.Second)
	w.submit("/batch/"+progressID, "key-a", fmt.Sprintf(`{"spec":"digest","steps":[{"count":2,"cpu":20,"memMb":32,"estimateMs":60000}],"repeatCount":%d,"firstMs":%d,"intervalMs":1}`,
		progressOccurrences, time.Now().UnixMilli()))
	count := func() (started, acked int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range w.runs {
			if short(r.task) {
				started++
				if r.ackedAt > 0 && r.how == "done" {
					acked++
				}
			}
		}
		return started, acked
	}
	all := false
	for end := time.Now().Add(progressWait); time.Now().Before(end) && !all; {
		time.Sleep(time.Second)
		started, acked := count()
		w.record("%d runs of short tasks have begun, the ends (done) of %d are taken note of", started, acked)
		all = acked >= progressOccurrences
	}
	time.Sleep(2 * time.Second)
	_, acked := count()
	killedAt := w.now()
	if w.trouble {
		owner = w.owner()
		if owner == nil {
			w.cannotRun("no owner to kill")
		}
		w.record("the owner %s is killed", owner.name)
		owner.kill()
		time.Sleep(3 * time.Second)
		owner.start(w)
	}
	time.Sleep(afterKill)
	again := 0
	w.mu.Lock()
	var lines []string
	for task, runs := range w.byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.how == "done" && a.ackedAt > 0 && b.start > a.end {
					again++
					if again <= 20 {
						lines = append(lines, fmt.Sprintf("TWICE: run %d of %s ended done at %.3f, taken note of at %.3f; run %d began on %s at %.3f", a.run, task, a.end.Seconds(), a.ackedAt.Seconds(), b.run, b.host, b.start.Seconds()))
					}
				}
			}
		}
	}
	w.mu.Unlock()
	for _, l := range lines {
		w.record("%s", l)
	}
	w.record("%d ends (done) had been taken note of at %.3f", acked, killedAt.Seconds())
	if acked == 0 {
		w.cannotRun("no end was taken note of")
	}
	w.finish(again > 0, "%d tasks began again after their end (done) had been taken note of", again)
}
