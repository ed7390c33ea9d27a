package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// playChaos plays many disruptions at random, one or two at a time, and looks for tasks
// that run twice, that run after a cancelling, or that never run. It is a search, and
// no case.
func playChaos(record string) {
	w := newWorld(record, 10, 4, 5, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000},`+
		`{"name":"v","host":"h.example","pathPrefix":"/v/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000,"advice":{"decisionMs":5,"perWorkerMs":1,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1000}]}`)
	time.Sleep(2 * time.Second)
	length := time.Duration(envInt("LEN", 70)) * time.Second
	began := time.Now()
	type job struct {
		path, kind string
		accepted   bool
		unknown    bool
		acked      time.Time
	}
	var mu sync.Mutex
	var jobs []*job
	var all sync.WaitGroup
	kinds := map[string]string{
		"plain":     `{"spec":"%d","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":%d},{"count":2,"cpu":2000,"memMb":100,"estimateMs":300,"after":[0]}]}`,
		"gang":      `{"spec":"%d","steps":[{"count":6,"cpu":2000,"memMb":100,"estimateMs":%d,"gang":true}]}`,
		"spread":    `{"spec":"%d","steps":[{"count":5,"cpu":500,"memMb":100,"estimateMs":%d,"antiAffinity":1}]}`,
		"perpetual": `{"spec":"perpetual %d","steps":[{"count":3,"cpu":500,"memMb":100,"estimateMs":%d,"perpetual":true}]}`,
	}
	names := []string{"plain", "gang", "spread", "plain", "plain", "perpetual"}
	for c := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; time.Since(began) < length; n++ {
				kind := names[rand.IntN(len(names))]
				if kind == "perpetual" && rand.IntN(4) > 0 {
					kind = "plain"
				}
				d := 150 + rand.IntN(900)
				prefix := []string{"/q/", "/v/"}[rand.IntN(2)]
				j := &job{path: fmt.Sprintf("%s%08x%08x", prefix, c+1, n), kind: kind}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				for range 4 {
					status, _ := w.entries[rand.IntN(5)].call(http.MethodPost, j.path, fmt.Sprintf(kinds[kind], d, d))
					if status == 200 {
						j.accepted = true
						break
					}
					if status != 503 && status != 429 {
						j.unknown = true
					}
					time.Sleep(300 * time.Millisecond)
				}
				if j.accepted && (kind == "perpetual" || rand.IntN(6) == 0) {
					if kind == "perpetual" {
						all.Add(1)
						go func() {
							defer all.Done()
							time.Sleep(time.Duration(rand.IntN(25000)) * time.Millisecond)
							for range 20 {
								if s, _ := w.entries[rand.IntN(5)].call(http.MethodDelete, j.path, ""); s/100 == 2 || s == 410 {
									j.acked = time.Now()
									return
								}
								time.Sleep(300 * time.Millisecond)
							}
						}()
					} else {
						time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
						if s, _ := w.entries[rand.IntN(5)].call(http.MethodDelete, j.path, ""); s/100 == 2 || s == 410 {
							j.acked = time.Now()
						}
					}
				}
				time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			}
		}()
	}
	busy := make([]sync.Mutex, 5)
	for i := range 2 {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(2+i) * time.Second)
			for time.Since(began) < length-time.Second {
				switch k := rand.IntN(8 + envInt("STORE", 0)); k {
				case 0, 1:
					n := rand.IntN(5)
					if !busy[n].TryLock() {
						continue
					}
					e := w.entries[n]
					w.rec.note("trouble kill %s", e.name)
					e.kill()
					time.Sleep(time.Duration(200+rand.IntN(2000)) * time.Millisecond)
					e.start()
					busy[n].Unlock()
				case 2:
					n := rand.IntN(5)
					if !busy[n].TryLock() {
						continue
					}
					e := w.entries[n]
					d := time.Duration(1000+rand.IntN(4500)) * time.Millisecond
					w.rec.note("trouble freeze %s %s", e.name, d)
					_ = e.cmd.Process.Signal(syscall.SIGSTOP)
					time.Sleep(d)
					_ = e.cmd.Process.Signal(syscall.SIGCONT)
					busy[n].Unlock()
				case 3:
					n := rand.IntN(5)
					if !busy[n].TryLock() {
						continue
					}
					e := w.entries[n]
					w.rec.note("trouble term %s", e.name)
					_ = e.cmd.Process.Signal(syscall.SIGTERM)
					select {
					case <-e.exited:
					case <-time.After(8 * time.Second):
						w.rec.note("BROKEN %s has not ended 8 s after SIGTERM", e.name)
						e.kill()
					}
					e.start()
					busy[n].Unlock()
				case 4, 8, 9, 10, 11, 12:
					f := []users.Fault{users.RejectAll, users.DropAppendResponses, users.Unresponsive, users.DelayAppends}[rand.IntN(4)]
					d := time.Duration(500+rand.IntN(4000)) * time.Millisecond
					w.rec.note("trouble store fault %d %s", f, d)
					w.store.SetFault(f)
					time.Sleep(d)
					w.store.SetFault(users.NoFault)
				case 5:
					x := w.runners[rand.IntN(len(w.runners))]
					x.mu.Lock()
					c := x.cut
					x.mu.Unlock()
					if c {
						continue
					}
					x.setCut(true)
					time.Sleep(time.Duration(1000+rand.IntN(7000)) * time.Millisecond)
					x.setCut(false)
				case 6:
					x := w.runners[rand.IntN(len(w.runners))]
					w.rec.note("trouble crash %s", x.id)
					x.crash()
					time.Sleep(time.Duration(1500+rand.IntN(2500)) * time.Millisecond)
					x.mu.Lock()
					c := x.life != nil
					x.mu.Unlock()
					if !c {
						x.start()
					}
				case 7:
					w.rec.note("trouble trim")
					w.store.TrimHistory("keyed.medlarpulley")
				}
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			}
		}()
	}
	all.Wait()
	time.Sleep(25 * time.Second)
	broken := w.rec.twice()
	states := map[string]int{}
	for _, j := range jobs {
		if !j.accepted {
			w.rec.mu.Lock()
			for task := range w.rec.runs {
				if !j.unknown && strings.HasPrefix(task, j.path[3:]+".") {
					broken = append(broken, "REFUSED "+task)
				}
			}
			w.rec.mu.Unlock()
			states[fmt.Sprintf("refused, unknown %t", j.unknown)]++
			continue
		}
		s := w.entries[0].state(j.path)
		states[j.kind+" "+s]++
		id := j.path[3:]
		switch {
		case !j.acked.IsZero() && s != "cancelled" && s != "completed":
			broken = append(broken, fmt.Sprintf("cancelled %s %s is %s", j.kind, j.path, s))
		case j.acked.IsZero() && j.kind != "perpetual" && s != "completed":
			broken = append(broken, fmt.Sprintf("%s %s is %s", j.kind, j.path, s))
		}
		w.rec.mu.Lock()
		for task, runs := range w.rec.runs {
			if !strings.HasPrefix(task, id+".") {
				continue
			}
			for _, x := range runs {
				if !j.acked.IsZero() && x.from.After(j.acked.Add(3*time.Second)) {
					broken = append(broken, fmt.Sprintf("UNASKED %s run %d starts %s after its cancelling", task, x.run, x.from.Sub(j.acked)))
				}
				if !j.acked.IsZero() && x.to.IsZero() {
					broken = append(broken, fmt.Sprintf("UNASKED %s run %d runs on", task, x.run))
				}
			}
		}
		w.rec.mu.Unlock()
	}
	fmt.Println(states)
	w.end(broken)
}
