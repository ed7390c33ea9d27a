package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// slowStore is a proxy before the store that delays each call.
func slowStore(address string, delay *atomic.Int64) string {
	u, _ := url.Parse("http://" + address)
	p := httputil.NewSingleHostReverseProxy(u)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(delay.Load()))
		p.ServeHTTP(w, r)
	}))
	return s.Listener.Addr().String()
}

func envInt(name string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return otherwise
}

func playRestarts(record string) {
	minDown, maxDown, every := envInt("MIN", 20), envInt("MAX", 300), envInt("EVERY", 700)
	delay.Store(int64(time.Duration(envInt("DELAY", 4)) * time.Millisecond))
	viaProxy = true
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1000}]}`)
	time.Sleep(2 * time.Second)
	delay.Store(int64(time.Duration(envInt("SLOW", 4)) * time.Millisecond))
	began := time.Now()
	n := atomic.Int64{}
	for c := range 8 {
		go func() {
			for time.Since(began) < time.Duration(envInt("LEN", 50))*time.Second {
				i := n.Add(1)
				d := envInt("DMIN", 20) + rand.IntN(envInt("DMAX", 300))
				w.entries[c%3].call(http.MethodPost, fmt.Sprintf("/q/%016x", i), fmt.Sprintf(`{"spec":"%d","steps":[{"count":4,"cpu":%d,"memMb":100,"estimateMs":%d}]}`, d, envInt("CPU", 4000), d))
				time.Sleep(time.Duration(envInt("PAUSE", 150)) * time.Millisecond)
			}
		}()
	}
	for time.Since(began) < time.Duration(envInt("LEN", 50))*time.Second {
		x := w.runners[rand.IntN(len(w.runners))]
		x.crash()
		time.Sleep(time.Duration(minDown+rand.IntN(maxDown-minDown+1)) * time.Millisecond)
		x.start()
		time.Sleep(time.Duration(every) * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	states := map[string]int{}
	for i := int64(1); i <= n.Load(); i++ {
		states[w.entries[0].state(fmt.Sprintf("/q/%016x", i))]++
	}
	fmt.Println(states)
	w.end(w.rec.twice())
}

// twice returns the breaks of TWICE.
func (r *recorder) twice() (broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, list := range r.runs {
		for i, a := range list {
			for k, b := range list {
				if i == k {
					continue
				}
				aTo := a.to
				if aTo.IsZero() {
					aTo = time.Now()
				}
				if i < k && b.from.Before(aTo) && (b.to.IsZero() || b.to.After(a.from)) {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s overlap", task, a.run, a.runner, b.run, b.runner))
				}
				if a.how == "done" && r.takenNote(a) && b.from.After(a.to) {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s ended done at %.3f, noted at %.3f; run %d on %s started at %.3f", task, a.run, a.runner, a.to.Sub(r.began).Seconds(), a.notedAt.Sub(r.began).Seconds(), b.run, b.runner, b.from.Sub(r.began).Seconds()))
				}
			}
		}
	}
	return broken
}
