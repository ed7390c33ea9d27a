package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, and keeps what
// the checks need.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	runs    map[string][]*runRecord
	running map[string]*runRecord
	// lapses holds when the lease of each runner lapsed.
	lapses map[string][]time.Time
}

type runRecord struct {
	runner    string
	run       int64
	from, to  time.Time
	how       string
	notedAt   time.Time
	heldToken int64
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fatal("%v", err)
	}
	return &recorder{began: time.Now(), file: f, runs: make(map[string][]*runRecord), running: make(map[string]*runRecord), lapses: make(map[string][]time.Time)}
}

// note writes one line.
func (r *recorder) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, a...)
}

func (r *recorder) write(format string, a ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

func key(runner, task string, run int64) string { return fmt.Sprintf("%s/%s/%d", runner, task, run) }

func (r *recorder) runStarted(runner, task string, run, token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &runRecord{runner: runner, run: run, from: time.Now(), heldToken: token}
	r.runs[task] = append(r.runs[task], x)
	r.running[key(runner, task, run)] = x
	r.write("run    %s begins %s run %d (fence %d)", runner, task, run, token)
}

func (r *recorder) runEnded(runner, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.running[key(runner, task, run)]; x != nil {
		x.to, x.how = time.Now(), how
		delete(r.running, key(runner, task, run))
	}
	r.write("run    %s ends   %s run %d: %s", runner, task, run, how)
}

func (r *recorder) endNoted(runner, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs[task] {
		if x.runner == runner && x.run == run && x.notedAt.IsZero() {
			x.notedAt = time.Now()
		}
	}
	r.write("run    %s: end of %s run %d (%s) is acknowledged", runner, task, run, how)
}

func (r *recorder) leaseLapsed(runner string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.lapses[runner]; len(l) == 0 || l[len(l)-1].Before(at) {
		r.lapses[runner] = append(l, at)
		r.write("lease  of %s lapsed at %.3f", runner, at.Sub(r.began).Seconds())
	}
}

// takenNote reports whether the end of a run was taken note of: it was acknowledged,
// and the runner's lease did not lapse between the two.
func (r *recorder) takenNote(x *runRecord) bool {
	if x.notedAt.IsZero() {
		return false
	}
	for _, at := range r.lapses[x.runner] {
		if at.After(x.to) && !at.After(x.notedAt) {
			return false
		}
	}
	return true
}
