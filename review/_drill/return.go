package main

import (
	"fmt"
	"net/http"
	"time"
)

// playReturn crashes the only runner of its kind, which has ended some tasks. Its channels go silent, and
// 300 ms later it is back under the same id and address, and lists itself 800 ms after
// that. In between a client hands in a submission of four tasks of 200 ms.
func playReturn(record string) {
	const (
		down   = 300 * time.Millisecond
		rounds = 4
	)
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	time.Sleep(2 * time.Second)
	n := 0
	submit := func() string {
		n++
		path := fmt.Sprintf("/q/%016x", 0xf00+n)
		status, _ := w.entries[n%3].call(http.MethodPost, path, `{"spec":"200","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":200,"requirements":"special"}]}`)
		w.rec.note("client POST %s -> %d", path, status)
		return path
	}
	for range rounds {
		for range 6 {
			submit()
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(idleTimeout + 2*time.Second)
		x := w.runners[0]
		x.mu.Lock()
		most := x.life.lastEnd
		x.mu.Unlock()
		if trouble {
			w.rec.note("crash  %s, which has listed %d ends; its channels are silent", x.id, most)
			x.listLag = 800 * time.Millisecond
			x.crashDark()
			time.Sleep(down)
			x.start()
			w.rec.note("start  %s is back", x.id)
		}
		time.Sleep(30 * time.Millisecond)
		path := submit()
		time.Sleep(4 * time.Second)
		w.rec.note("client GET %s -> %s", path, w.entries[0].state(path))
	}
	w.end(w.rec.twice())
}
