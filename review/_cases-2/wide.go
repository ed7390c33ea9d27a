package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	wideCount   = 20000
	wideHosts   = 48
	smallPeriod = 500 * time.Millisecond
	smallSpan   = 40 * time.Second
	// stallBound is the time of the rule: 3 s in which nothing of a submission runs, and
	// the 4 s before them.
	stallBound = 7 * time.Second
)

// wideStep hands in one submission with many tasks that bounds how many of them run on one
// runner, and then small urgent ones of another team.
func wideStep(w *world) {
	w.publish(1)
	w.outcomeOf = func(task string) outcome {
		if strings.HasPrefix(task, "00000000000000a1") {
			return outcome{3 * time.Second, "done"}
		}
		return outcome{200 * time.Millisecond, "done"}
	}
	w.startHosts(wideHosts)
	w.startEntries(3)
	w.waitOwner()
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.submit("/batch/00000000000000a1", "key-a", fmt.Sprintf(`{"spec":"rescan","steps":[{"count":%d,"cpu":50,"memMb":32,"estimateMs":3000,"antiAffinity":4}]}`, wideCount))
	}
	accepted := map[string]time.Duration{}
	for i := 0; time.Duration(i)*smallPeriod < smallSpan; i++ {
		id := fmt.Sprintf("00000000000%05x", 0xb0000+i)
		if status, _ := w.send(w.entries[i%len(w.entries)], "POST", "/urgent/"+id, "key-b", `{"spec":"preview","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":200}]}`); status/100 == 2 {
			accepted[id] = w.now()
		}
		time.Sleep(smallPeriod)
	}
	time.Sleep(stallBound + 3*time.Second)
	stalled, worst, judged := 0, time.Duration(0), 0
	for id, at := range accepted {
		judged++
		runs := w.runsOf(id + ".0.0.0")
		wait := w.now() - at
		if len(runs) > 0 {
			wait = runs[0].start - at
		}
		worst = max(worst, wait)
		if wait > stallBound {
			stalled++
		}
	}
	w.mu.Lock()
	wide := len(w.runs)
	w.mu.Unlock()
	terms := 0
	for _, e := range w.entries {
		terms += e.termCount()
	}
	w.record("%d small submissions were accepted, %d had nothing running for over %s; the longest wait was %s; %d runs in all, %d terms of owners", judged, stalled, stallBound, worst.Round(time.Millisecond), wide, terms)
	if judged == 0 {
		w.cannotRun("no small submission was accepted")
	}
	w.finish(stalled > 0, "capacity in use on the %d runners: at most 0.3 of 16 cores each", wideHosts)
}
