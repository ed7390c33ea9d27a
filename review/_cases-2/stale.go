package main

import (
	"time"
)

const (
	staleID       = "00000000000000f1"
	staleTask     = staleID + ".0.0.0"
	staleTaskTime = 4 * time.Second
	staleStatus   = 20
	// staleCut is longer than the states of ended submissions are kept: staleStatus and
	// the 30 s that the system adds, and a scan every 5 s.
	staleCut   = 66 * time.Second
	staleAfter = 10 * time.Second
)

// staleState cuts one entry process off from the store while a submission runs, until the
// submission has ended and its records have been deleted. Then that process owns the cell.
func staleState(w *world) {
	w.publish(1)
	w.statusSeconds = staleStatus
	w.outcomeOf = func(string) outcome { return outcome{staleTaskTime, "done"} }
	w.startHosts(8)
	links := make([]*link, 3)
	for i := range links {
		links[i] = newLink(w, w.store.Address())
	}
	w.storeAddress = func(i int) string { return links[i].address }
	w.startEntries(len(links))
	owner := w.waitOwner()
	time.Sleep(2 * time.Second)
	w.submit("/batch/"+staleID, "key-a", `{"spec":"digest","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":4000}]}`)
	time.Sleep(time.Second)
	cut := 0
	for w.entries[cut] == owner {
		cut++
	}
	if w.trouble {
		links[cut].setCut(true)
		w.record("%s is cut off from the store", w.entries[cut].name)
	}
	time.Sleep(2 * staleTaskTime)
	w.send(owner, "GET", "/batch/"+staleID, "key-a", "")
	time.Sleep(staleCut - 2*staleTaskTime)
	w.send(owner, "GET", "/batch/"+staleID, "key-a", "")
	if w.trouble {
		links[cut].setCut(false)
		w.record("%s reaches the store again", w.entries[cut].name)
	}
	time.Sleep(5 * time.Second)
	for i, e := range w.entries {
		if i != cut {
			w.record("%s is killed", e.name)
			go e.kill()
		}
	}
	time.Sleep(staleAfter)
	w.send(w.entries[cut], "GET", "/batch/"+staleID, "key-a", "")
	runs := w.runsOf(staleTask)
	if len(runs) == 0 || runs[0].ackedAt == 0 {
		w.cannotRun("the task was not done, or its end was not taken note of")
	}
	again := 0
	for _, r := range runs {
		w.record("run %d on %s from %.3f to %.3f: %s, taken note of at %.3f", r.run, r.host, r.start.Seconds(), r.end.Seconds(), r.how, r.ackedAt.Seconds())
		if runs[0].how == "done" && r.start > runs[0].end {
			again++
		}
	}
	w.finish(again > 0, "%d runs began after the end (done) of the first one had been taken note of", again)
}
