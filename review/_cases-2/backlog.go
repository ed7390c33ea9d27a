package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	backlogRate   = 54 // submissions a second, as on the small site
	backlogSpan   = 90 * time.Second
	backlogStatus = 1
	// backlogAge is when an ended submission should be deleted: backlogStatus, the 30 s that
	// the system adds, and two scans.
	backlogAge = 41 * time.Second
)

// endedBacklog hands in small submissions at the rate of the small site, and counts how many
// of them are stored for longer than their states are to be shown. It shows no broken rule.
func endedBacklog(w *world) {
	w.quiet = true
	w.publish(1)
	w.statusSeconds = backlogStatus
	w.outcomeOf = func(string) outcome { return outcome{100 * time.Millisecond, "done"} }
	w.startHosts(16)
	w.startEntries(3)
	w.waitOwner()
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	store := w.store.(*logStore)
	count := func() {
		mu.Lock()
		defer mu.Unlock()
		kept, old := 0, 0
		for id, at := range accepted {
			if v, _ := store.newestOf("keyed.medlarpulley", "s/"+id); v != nil {
				kept++
				if time.Since(at) > backlogAge {
					old++
				}
			}
		}
		w.record("%d submissions were accepted, %d are stored, %d of these for over %s", len(accepted), kept, old, backlogAge)
	}
	tick, report := time.NewTicker(time.Second/backlogRate), time.NewTicker(10*time.Second)
	for n, end := 0, time.Now().Add(backlogSpan); time.Now().Before(end); {
		select {
		case <-report.C:
			count()
		case <-tick.C:
			n++
			id := fmt.Sprintf("%016x", 0xf00000+n)
			go func() {
				status, _ := w.send(w.entries[n%len(w.entries)], "POST", "/urgent/"+id, "key-b", `{"spec":"preview","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":100}]}`)
				mu.Lock()
				defer mu.Unlock()
				if status/100 == 2 {
					accepted[id] = time.Now()
				}
			}()
		}
	}
	count()
	w.finish(false, "see the counts above")
}
