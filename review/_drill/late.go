package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// playLate lets the store be silent for a few seconds. A client hands a submission
// in at that time, gets no ack, and then takes it back by a DELETE at another node,
// which it repeats until it has a 2xx or 410. It never sends the submission again.
func playLate(record string) {
	const (
		cancelMs = 3000 * time.Millisecond
		contact  = 3000 * time.Millisecond
	)
	outage := 4500 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("OUTAGE_MS")); err == nil {
		outage = time.Duration(ms) * time.Millisecond
	}
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	time.Sleep(4 * time.Second)
	var broken []string
	for round := range 3 {
		path := fmt.Sprintf("/q/%016x", 0xb0+round)
		id := path[3:]
		began := time.Now()
		if trouble {
			w.rec.note("store  silent for %s", outage)
			w.store.SetFault(users.Unresponsive)
			time.AfterFunc(outage, func() { w.store.SetFault(users.NoFault); w.rec.note("store  answers again") })
		}
		time.Sleep(200 * time.Millisecond)
		at, other := w.entries[round%3], w.entries[(round+1)%3]
		posted := make(chan struct{})
		go func() {
			defer close(posted)
			status, answer := at.call(http.MethodPost, path, `{"spec":"4500","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":4500},{"count":1,"cpu":1000,"memMb":100,"estimateMs":4500,"after":[0]}]}`)
			w.rec.note("client POST %s at %s -> %d %s", path, at.name, status, answer)
		}()
		<-posted
		var acked time.Time
		for acked.IsZero() && time.Since(began) < 20*time.Second {
			status, answer := other.call(http.MethodDelete, path, "")
			w.rec.note("client DELETE %s at %s -> %d %s", path, other.name, status, answer)
			if status/100 == 2 || status == http.StatusGone {
				acked = time.Now()
			}
			time.Sleep(100 * time.Millisecond)
		}
		if acked.IsZero() {
			w.rec.note("the DELETE was not acknowledged within 20 s")
			continue
		}
		time.Sleep(14 * time.Second)
		w.rec.note("client GET %s at %s -> %s", path, other.name, other.state(path))
		w.rec.mu.Lock()
		for task, list := range w.rec.runs {
			if !strings.HasPrefix(task, id+".") {
				continue
			}
			for _, x := range list {
				late, calm := x.from.Sub(acked), x.from.Sub(began.Add(outage))
				if late > cancelMs && calm > contact {
					broken = append(broken, fmt.Sprintf("UNASKED: %s run %d was started %.1f s after its cancelling had been acknowledged, and %.1f s after the store was back", task, x.run, late.Seconds(), calm.Seconds()))
				}
			}
		}
		w.rec.mu.Unlock()
	}
	w.end(broken)
}
