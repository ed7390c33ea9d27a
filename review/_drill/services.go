package main

import (
	"fmt"
	"net/http"
	"time"
)

// playServices has one submission of twelve perpetual tasks at work. The runner
// that has most of them crashes, and 15 s later the one that has most of them then.
func playServices(record string) {
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"l","host":"h.example","pathPrefix":"/l/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	const path = "/l/00000000000000d0"
	status, _ := w.entries[0].call(http.MethodPost, path, `{"spec":"perpetual","steps":[{"count":12,"cpu":1000,"memMb":100,"estimateMs":1000,"perpetual":true}]}`)
	w.rec.note("client POST %s -> %d", path, status)
	time.Sleep(15 * time.Second)
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
			w.rec.note("crash  %s with %d tasks for 2 s", most.id, n)
			most.crash()
			time.AfterFunc(2*time.Second, most.start)
		}
		time.Sleep(30 * time.Second)
	}
	time.Sleep(5 * time.Second)
	w.rec.note("client GET %s -> %s", path, w.entries[1].state(path))
	w.rec.mu.Lock()
	for task, runs := range w.rec.runs {
		for i, x := range runs {
			gap := time.Duration(0)
			if i+1 < len(runs) {
				gap = runs[i+1].from.Sub(x.to)
			} else if !x.to.IsZero() {
				gap = time.Since(x.to)
			}
			if gap > 2*time.Second {
				fmt.Println(task, x.how, gap)
			}
		}
	}
	w.rec.mu.Unlock()
	w.end(nil)
}
