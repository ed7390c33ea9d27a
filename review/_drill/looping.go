package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLooping has one perpetual task of tenant b that fails soon after each start. Tenant a
// hands in four gangs, and small submissions for 20 s. It looks whether something of
// tenant a has had nothing running by finish_s after the end of that traffic. With
// TROUBLE=0 the perpetual task does not fail.
func playLooping(record string) {
	const (
		traffic = 20 * time.Second
		finish  = 14 * time.Second
		idle    = 3 * time.Second
	)
	limit := `"cap":{"cpu":1000000,"memMb":10000000,"gpu":0}`
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100,`+limit+`},{"name":"b","apiKeys":["key-b"],"weight":100,`+limit+`}]}`)
	time.Sleep(2 * time.Second)
	accepted := map[string]time.Time{}
	submit := func(n int, what, body string) {
		id := fmt.Sprintf("%016x", 0x1000+n)
		status, _ := w.entries[n%3].call(http.MethodPost, "/q/"+id, body)
		w.rec.note("client a POST %s %s -> %d", what, id, status)
		if status == http.StatusOK {
			accepted[id] = time.Now()
		}
	}
	spec := "fail"
	if !trouble {
		spec = "perpetual"
	}
	status, _ := w.entries[0].callAs("key-b", http.MethodPost, "/q/00000000000000f0", fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"memMb":100,"estimateMs":1000,"perpetual":true}]}`, spec, envInt("TASKS", 1)))
	w.rec.note("client b POST perpetual 00000000000000f0 -> %d", status)
	time.Sleep(4 * time.Second)
	gangs := map[string]bool{}
	n := 0
	for began := time.Now(); time.Since(began) < traffic; n++ {
		if n%10 == 0 {
			submit(n, "gang", `{"spec":"1000","steps":[{"count":6,"cpu":8000,"memMb":100,"estimateMs":1000,"gang":true}]}`)
			gangs[fmt.Sprintf("%016x", 0x1000+n)] = true
		} else {
			submit(n, "task", `{"spec":"200","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":200}]}`)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish + idle)
	ended := time.Now()
	var broken []string
	for id, at := range accepted {
		state := w.entries[1].state("/q/" + id)
		w.rec.note("client a GET %s -> %s", id, state)
		w.rec.mu.Lock()
		ran := 0
		for index := range 6 {
			ran += len(w.rec.runs[fmt.Sprintf("%s.0.0.%d", id, index)])
		}
		w.rec.mu.Unlock()
		if ran == 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s (gang: %t) was accepted %.0f s ago, and nothing of it has run, with all cores free; it is %q", id, gangs[id], ended.Sub(at).Seconds(), state))
		}
	}
	w.rec.mu.Lock()
	loops := len(w.rec.runs["00000000000000f0.0.0.0"])
	w.rec.mu.Unlock()
	w.rec.note("the perpetual task has had %d runs", loops)
	w.end(broken)
}
