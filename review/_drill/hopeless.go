package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playHopeless lets one tenant hand in one small sound submission every half second. Among
// these, another tenant hands in one submission of 48 tasks that can't be done: they
// end failed. It looks how long sound submissions have nothing running once that one
// is shown as failed.
func playHopeless(record string) {
	const (
		idle = 3 * time.Second
		calm = 4 * time.Second
	)
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100,"cap":{"cpu":100000,"memMb":400000,"gpu":0}},`+
		`{"name":"b","apiKeys":["key-b"],"weight":100,"cap":{"cpu":100000,"memMb":400000,"gpu":0}}]}`)
	time.Sleep(2 * time.Second)
	const hopeless = "/q/00000000000000e0"
	var failedAt time.Time
	type sent struct {
		task string
		at   time.Time
	}
	var all []sent
	began := time.Now()
	for n := 0; time.Since(began) < 40*time.Second; n++ {
		if n == 20 {
			spec := "fail"
			if !trouble {
				spec = "50"
			}
			status, _ := w.entries[1].callAs("key-b", http.MethodPost, hopeless, `{"spec":"`+spec+`","steps":[{"count":48,"cpu":1000,"memMb":100,"estimateMs":50}]}`)
			w.rec.note("client b POST %s -> %d", hopeless, status)
		}
		if n > 20 && failedAt.IsZero() {
			if s := w.entries[1].stateAs("key-b", hopeless); s == "failed" || s == "completed" {
				failedAt = time.Now()
				w.rec.note("client b GET %s -> %s", hopeless, s)
			}
		}
		p := fmt.Sprintf("/q/%016x", 0x1000+n)
		status, _ := w.entries[n%3].call(http.MethodPost, p, `{"spec":"300","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}`)
		w.rec.note("client a POST %s -> %d", p, status)
		if status == http.StatusOK {
			all = append(all, sent{strings.TrimPrefix(p, "/q/") + ".0.0.0", time.Now()})
		}
		time.Sleep(500 * time.Millisecond)
	}
	if failedAt.IsZero() {
		fatal("the hopeless submission has not ended")
	}
	var broken []string
	w.rec.mu.Lock()
	for _, s := range all {
		from := s.at
		if c := failedAt.Add(calm); c.After(from) {
			from = c
		}
		to := time.Now()
		if runs := w.rec.runs[s.task]; len(runs) > 0 {
			to = runs[0].from
		}
		if wait := to.Sub(from); wait > idle {
			broken = append(broken, fmt.Sprintf("LOST: %s had nothing running for %.1f s, from %.1f s after the hopeless submission had been shown as failed", s.task, wait.Seconds(), from.Sub(failedAt).Seconds()))
		}
	}
	w.rec.mu.Unlock()
	w.end(broken)
}
