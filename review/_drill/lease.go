package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// playLease crashes the only runner of its kind as playReturn does. A client hands in a
// submission of one task of 25 s right after the runner is back. A second runner of
// that kind is added, and the first one is cut off for 5.5 s and runs on. With CRASH=0
// it is cut off, but has not crashed.
func playLease(record string) {
	const (
		down = 300 * time.Millisecond
		cut  = 5500 * time.Millisecond
	)
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	submit := func(n, ms int) string {
		path := fmt.Sprintf("/q/%016x", 0xf00+n)
		status, _ := w.entries[n%3].call(http.MethodPost, path, fmt.Sprintf(`{"spec":"%d","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":%d,"requirements":"special"}]}`, ms, ms))
		w.rec.note("client POST %s -> %d", path, status)
		return path
	}
	x := w.runners[0]
	x.listLag = 800 * time.Millisecond
	for n := range 4 {
		submit(n, 300)
		time.Sleep(time.Second)
	}
	time.Sleep(idleTimeout + 5*time.Second)
	if trouble && os.Getenv("CRASH") != "0" {
		w.rec.note("crash  %s; its channels are silent", x.id)
		x.crashDark()
		time.Sleep(down)
		x.start()
		w.rec.note("start  %s is back", x.id)
	}
	time.Sleep(30 * time.Millisecond)
	path := submit(10, 25000)
	time.Sleep(1500 * time.Millisecond)
	w.runners = append(w.runners, newRunner("i-8", "special", "r1-0", w.store, w.rec))
	time.Sleep(500 * time.Millisecond)
	if trouble {
		x.setCut(true)
		time.Sleep(cut)
		x.setCut(false)
	}
	time.Sleep(32 * time.Second)
	w.rec.note("client GET %s -> %s", path, w.entries[0].state(path))
	w.end(w.rec.twice())
}
