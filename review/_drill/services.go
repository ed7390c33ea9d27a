package main

import (
	"net/http"
	"time"
)

// playServices has one submission of twelve perpetual tasks at work. Three times, 25 s
// apart, the runner that has most of them crashes for 2 s.
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
		time.Sleep(25 * time.Second)
	}
	state := w.entries[1].state(path)
	w.rec.note("client GET %s -> %s", path, state)
	var broken []string
	if state == "failed" {
		broken = append(broken, "LOST: "+path+" was accepted, nobody cancelled it, no run of it ended failed, and it is shown as failed")
	}
	w.end(broken)
}
