package main

import (
	"fmt"
	"net/http"
	"time"
)

// playWide hands in one submission of one wide step, of which at most four tasks may run
// on a runner. Another tenant hands in small submissions all the while. With TROUBLE=0
// the wide one is left out.
func playWide(record string) {
	const (
		runnerCount = 160
		tasks       = 7500
		traffic     = 25 * time.Second
		finish      = 14 * time.Second
	)
	limit := `"cap":{"cpu":10000000,"memMb":100000000,"gpu":0}`
	w := newWorld(record, runnerCount, 20, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100,`+limit+`},{"name":"b","apiKeys":["key-b"],"weight":100,`+limit+`}]}`)
	time.Sleep(4 * time.Second)
	accepted := map[string]time.Time{}
	submit := func(n int) {
		id := fmt.Sprintf("%016x", 0x1000+n)
		status, _ := w.entries[n%3].call(http.MethodPost, "/q/"+id, `{"spec":"200","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":200}]}`)
		w.rec.note("client a POST %s -> %d", id, status)
		if status == http.StatusOK {
			accepted[id] = time.Now()
		}
	}
	n := 0
	for ; n < 10; n++ {
		submit(n)
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		status, answer := w.entries[0].callAs("key-b", http.MethodPost, "/q/00000000000000f0", fmt.Sprintf(`{"spec":"2000","steps":[{"count":%d,"cpu":1000,"memMb":100,"estimateMs":2000,"antiAffinity":4}]}`, envInt("TASKS", tasks)))
		w.rec.note("client b POST 00000000000000f0 -> %d %s", status, answer)
	}
	for began := time.Now(); time.Since(began) < traffic; n++ {
		submit(n)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	ended := time.Now()
	lost, oldest := 0, time.Duration(0)
	for id, at := range accepted {
		state := w.entries[1].state("/q/" + id)
		w.rec.note("client a GET %s -> %s", id, state)
		w.rec.mu.Lock()
		ran := len(w.rec.runs[id+".0.0.0"]) + len(w.rec.runs[id+".0.0.1"])
		w.rec.mu.Unlock()
		if ran == 0 {
			lost++
			oldest = max(oldest, ended.Sub(at))
		}
	}
	w.rec.mu.Lock()
	wide := 0
	for _, list := range w.rec.runs {
		wide += len(list)
	}
	w.rec.mu.Unlock()
	w.rec.note("%d of %d small submissions have had nothing running; %d runs in all", lost, len(accepted), wide)
	var broken []string
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %.0f s after the end of the traffic %d of %d accepted small submissions have had nothing running, the oldest for %.0f s", finish.Seconds(), lost, len(accepted), oldest.Seconds()))
	}
	w.end(broken)
}
