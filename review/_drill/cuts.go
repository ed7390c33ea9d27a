package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playCuts has one submission of twelve perpetual tasks at work. Three times, 25 s apart, the
// runner that has most of them is cut off for 5.5 s: its channels are reset, new ones
// are refused, and it runs on. No runner crashes, no run ends failed, nobody cancels.
func playCuts(record string) {
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"l","host":"h.example","pathPrefix":"/l/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	const path = "/l/00000000000000d0"
	status, _ := w.entries[0].call(http.MethodPost, path, `{"spec":"perpetual","steps":[{"count":12,"cpu":1000,"memMb":100,"estimateMs":1000,"perpetual":true}]}`)
	w.rec.note("client POST %s -> %d", path, status)
	if status != http.StatusOK {
		fatal("the submission was not accepted")
	}
	time.Sleep(12 * time.Second)
	for range 3 {
		if trouble {
			var most *runner
			n := -1
			for _, x := range w.runners {
				x.mu.Lock()
				if x.life != nil && len(x.life.runs) > n {
					most, n = x, len(x.life.runs)
				}
				x.mu.Unlock()
			}
			most.refuse()
			time.AfterFunc(5500*time.Millisecond, most.accept)
		}
		time.Sleep(25 * time.Second)
	}
	state := w.entries[1].state(path)
	w.rec.note("client GET %s -> %s", path, state)
	var broken []string
	w.rec.mu.Lock()
	failed, runs, atWork := 0, 0, 0
	for task, list := range w.rec.runs {
		if !strings.HasPrefix(task, path[3:]+".") {
			continue
		}
		for _, x := range list {
			runs++
			if x.how == "failed" {
				failed++
			}
			if x.to.IsZero() {
				atWork++
			}
		}
	}
	w.rec.mu.Unlock()
	if state == "failed" && failed == 0 {
		broken = append(broken, fmt.Sprintf("LOST: %s was accepted and nobody cancelled it; of its %d runs none ended failed, and no runner crashed; it is shown as failed, with %d of 12 tasks at work", path, runs, atWork))
	}
	w.end(broken)
}
