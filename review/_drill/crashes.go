package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// playCrashes lets one runner of eight crash at a time, chosen at random, while
// twelve submissions with one perpetual task each are at work. No run ever ends
// failed, and nobody cancels.
func playCrashes(record string) {
	const (
		runnerCount = 8
		crashEvery  = 2500 * time.Millisecond
		down        = 1500 * time.Millisecond
		length      = 75 * time.Second
	)
	w := newWorld(record, runnerCount, 4, 3, `{"version":1,"routes":[`+
		`{"name":"l","host":"h.example","pathPrefix":"/l/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	seed := uint64(time.Now().UnixNano())
	if s, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = s
	}
	w.rec.note("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	var accepted []string
	for i := range 12 {
		path := fmt.Sprintf("/l/%016x", 0xa0+i)
		status, _ := w.entries[i%len(w.entries)].call(http.MethodPost, path, `{"spec":"perpetual","steps":[{"count":1,"cpu":7000,"memMb":100,"estimateMs":1000,"perpetual":true}]}`)
		w.rec.note("client POST %s -> %d", path, status)
		if status == http.StatusOK {
			accepted = append(accepted, path)
		}
	}
	if len(accepted) == 0 {
		fatal("no submission was accepted")
	}
	failed := map[string]bool{}
	look := func() {
		for _, path := range accepted {
			if failed[path] {
				continue
			}
			if s := w.entries[r.IntN(len(w.entries))].state(path); s == "failed" {
				failed[path] = true
				w.rec.note("client GET %s -> failed", path)
			}
		}
	}
	time.Sleep(5 * time.Second)
	for began := time.Now(); time.Since(began) < length; time.Sleep(crashEvery) {
		if trouble {
			x := w.runners[r.IntN(len(w.runners))]
			w.rec.note("crash  %s for %s", x.id, down)
			x.crash()
			time.AfterFunc(down, x.start)
		}
		look()
	}
	time.Sleep(8 * time.Second)
	look()
	var broken []string
	for _, path := range accepted {
		if !failed[path] {
			continue
		}
		runs, ends := 0, 0
		w.rec.mu.Lock()
		for task, list := range w.rec.runs {
			if strings.HasPrefix(task, path[3:]+".") {
				for _, x := range list {
					runs++
					if x.how == "failed" {
						ends++
					}
				}
			}
		}
		w.rec.mu.Unlock()
		if ends == 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s was accepted, nobody cancelled it, none of its %d runs ended failed, and it is shown as failed", path, runs))
		}
	}
	w.end(broken)
}
