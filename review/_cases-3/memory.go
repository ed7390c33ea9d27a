package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyBytes   = 262144 // maxBodyBytes of the desired state
	bodyClients = 60
	bodyRounds  = 3
	waves       = 8
	// faultEnds is how often processes of two machines have to end for the day to count 0.
	faultEnds     = 3
	faultMachines = 2
)

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// resident returns the resident memory of a process in MiB.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := residentLine.FindSubmatch(data)
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n >> 10
}

// watchMemory kills a process that exceeds the memory of its machine, as the machine does, until a
// channel is closed.
func (c *cell) watchMemory(n *entry, until <-chan struct{}) (peak *atomic.Int64) {
	peak = new(atomic.Int64)
	go func() {
		for {
			select {
			case <-n.exited:
				return
			case <-until:
				return
			case <-time.After(2 * time.Millisecond):
			}
			now := resident(n.cmd.Process.Pid)
			peak.Store(max(peak.Load(), int64(now)))
			if now > memoryMiB {
				c.rec.printf("process %s has %d MiB, its machine %d MiB: it is killed", n.name, now, memoryMiB)
				_ = n.cmd.Process.Kill()
				<-n.exited
				return
			}
		}
	}()
	return peak
}

// largeBody returns a body of the largest legal size. With steps it holds many short ones.
func largeBody(steps bool) string {
	head, tail := `{"spec":"x","steps":[{"count":1}`, `]}`
	if !steps {
		return head + strings.Repeat(" ", bodyBytes-len(head)-len(tail)) + tail
	}
	n := (bodyBytes - len(head) - len(tail)) / 3
	return head + strings.Repeat(`,{}`, n) + tail
}

func playMemory(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 4, 300*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.store.Put("keyed.op", "config", []byte(config))
	for _, name := range []string{"n1", "n2", "n3"} {
		if _, err := c.start(name, c.store.Address()); err != nil {
			return false, err
		}
	}
	if _, err := c.ownerOf(); err != nil {
		return false, err
	}
	small := `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":300}]}`
	if err := eventually("a submission is accepted", settledTimeout, func() bool {
		code, _ := c.call(c.nodes[0], "POST", "/q/00000000000000aa", "key-a", small, 3*time.Second)
		return code == 200
	}); err != nil {
		return false, err
	}
	body := largeBody(trouble)
	ends := map[string]int{}
	for wave := range waves {
		if hasFault(ends) {
			break
		}
		rec.printf("wave %d: %d clients send bodies of %d bytes to each process, %d each", wave+1, bodyClients, len(body), bodyRounds)
		c.sendWave(wave, body)
		time.Sleep(time.Second)
		for _, n := range slices.Clone(c.nodes) {
			select {
			case <-n.exited:
				ends[n.name]++
				if _, err := c.restart(n); err != nil {
					return false, err
				}
			default:
			}
		}
		time.Sleep(2 * time.Second)
	}
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		rec.printf("process %s has ended %d times", name, ends[name])
	}
	return hasFault(ends), nil
}

// hasFault reports whether processes have ended so often on so many machines that it is a fault.
func hasFault(ends map[string]int) bool {
	machines := 0
	for _, n := range ends {
		if n >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// sendWave sends bodies to all processes at once, and kills each that exceeds the memory of its machine.
func (c *cell) sendWave(wave int, body string) {
	answers := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var peaks []*atomic.Int64
	watching := make(chan struct{})
	defer close(watching)
	for i, n := range c.nodes {
		peaks = append(peaks, c.watchMemory(n, watching))
		for j := range bodyClients {
			wg.Go(func() {
				for k := range bodyRounds {
					id := fmt.Sprintf("%016x", 1_000_000*(wave+1)+10_000*i+100*j+k)
					answer := sendBody(n.address, id, body)
					mu.Lock()
					answers[n.name+": "+answer]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	for i, n := range c.nodes {
		c.rec.printf("process %s: peak of %d MiB", n.name, peaks[i].Load())
	}
	for _, key := range slices.Sorted(maps.Keys(answers)) {
		c.rec.printf("clients of process %s: %d times", key, answers[key])
	}
}

// sendBody sends one submission and returns the status line.
func sendBody(address, id, body string) string {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	if err != nil {
		return "broken while sending"
	}
	data, _ := io.ReadAll(conn)
	line, _, _ := strings.Cut(string(data), "\r\n")
	if line == "" {
		return "no answer"
	}
	return line
}
