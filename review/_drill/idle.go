package main

import (
	"fmt"
	"net/http"
	"time"
)

// playIdle hands in one task that asks for memory only and uses no processor time,
// on the one runner of its kind, beside other work that goes on for 15 s. Nothing
// else happens. finish_s after the end of that traffic it looks, for 30 s, whether
// the task runs. With TROUBLE=0 the task asks for a tenth of a core and uses it.
func playIdle(record string) {
	const (
		traffic = 15 * time.Second
		finish  = 14 * time.Second
		watch   = 30 * time.Second
		// idle is how long nothing may run while the task's turn has come.
		idle = 3 * time.Second
	)
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100,"cap":{"cpu":100000,"memMb":400000,"gpu":0}}]}`)
	time.Sleep(2 * time.Second)
	spec, cpu := "6000 0", ""
	if !trouble {
		spec, cpu = "6000 100", `"cpu":100,`
	}
	const path = "/q/00000000000000c0"
	const task = "00000000000000c0.0.0.0"
	status, _ := w.entries[0].call(http.MethodPost, path, `{"spec":"`+spec+`","steps":[{"count":1,`+cpu+`"memMb":100,"estimateMs":6000,"requirements":"special"}]}`)
	w.rec.note("client POST %s -> %d", path, status)
	if status != http.StatusOK {
		fatal("the submission was not accepted")
	}
	began := time.Now()
	for n := 0; time.Since(began) < traffic; n++ {
		p := fmt.Sprintf("/q/%016x", 0x1000+n)
		status, _ := w.entries[n%3].call(http.MethodPost, p, `{"spec":"400","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":400}]}`)
		w.rec.note("client POST %s -> %d", p, status)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(finish)
	from := time.Now()
	w.rec.note("the watch begins")
	time.Sleep(watch)
	state := w.entries[1].state(path)
	w.rec.note("client GET %s -> %s", path, state)
	w.rec.mu.Lock()
	runs := w.rec.runs[task]
	last, longest, done := from, time.Duration(0), false
	for _, x := range runs {
		done = done || x.how == "done"
		if x.from.After(last) {
			longest = max(longest, x.from.Sub(last))
		}
		switch {
		case x.to.IsZero():
			last = time.Now()
		case x.to.After(last):
			last = x.to
		}
	}
	longest = max(longest, time.Since(last))
	w.rec.mu.Unlock()
	var broken []string
	if !done && longest > idle {
		broken = append(broken, fmt.Sprintf("LOST: for %.1f s nothing of %s ran while its task's turn had come and there was room; it is %q after %.0f s and %d runs of a task of 6 s", longest.Seconds(), path, state, time.Since(began).Seconds(), len(runs)))
	}
	w.end(broken)
}
