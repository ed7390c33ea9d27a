package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// playLarge hands in one large submission beside small ones.
func playLarge(record string) {
	w := newWorld(record, 8, 4, 3, `{"version":1,"routes":[`+
		`{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`)
	time.Sleep(2 * time.Second)
	body := strings.ReplaceAll(os.Getenv("BODY"), "NOW", fmt.Sprint(time.Now().Add(time.Hour).UnixMilli()))
	for i := range envInt("N", 1) {
		status, answer := w.entries[0].call(http.MethodPost, fmt.Sprintf("/q/%016x", 0xaaaa+i), body)
		fmt.Println("large:", status, answer)
	}
	began := time.Now()
	n := 0
	for time.Since(began) < time.Duration(envInt("LEN", 30))*time.Second {
		n++
		w.entries[n%3].call(http.MethodPost, fmt.Sprintf("/q/%016x", n), `{"spec":"100","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":100}]}`)
		time.Sleep(200 * time.Millisecond)
		if n%25 == 0 {
			done := 0
			for i := 1; i <= n; i++ {
				if w.entries[0].state(fmt.Sprintf("/q/%016x", i)) == "completed" {
					done++
				}
			}
			fmt.Printf("%.0f s: %d of %d small ones completed, owner %v;", time.Since(began).Seconds(), done, n, w.owner() != nil)
			for _, e := range w.entries {
				data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
				for _, l := range strings.Split(string(data), "\n") {
					if strings.HasPrefix(l, "VmRSS") || strings.HasPrefix(l, "VmHWM") {
						fmt.Print(" ", strings.Join(strings.Fields(l), " "))
					}
				}
			}
			fmt.Println()
		}
	}
	w.end(nil)
}
