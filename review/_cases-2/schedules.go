package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	scheduleCount       = 6
	scheduleOccurrences = 100000
	scheduleInterval    = time.Minute
	memoryLimitKB       = 284 * 1024
	restartDelay        = time.Second
	scheduleSpan        = 75 * time.Second
	// endsAllowed and machinesAllowed are the bounds of Fault, which is recorded beside the
	// check: processes that end by themselves three times, on two machines.
	endsAllowed, machinesAllowed = 3, 2
)

// schedules hands in submissions that run once a minute, the first time in an hour. The
// platform kills each process that exceeds its memory, and starts it again.
func schedules(w *world) {
	w.publish(1)
	w.outcomeOf = func(string) outcome { return outcome{200 * time.Millisecond, "done"} }
	w.startHosts(8)
	w.startEntries(3)
	w.waitOwner()
	time.Sleep(2 * time.Second)
	kills := make(chan *entry, 1000)
	peak := make([]int, len(w.entries))
	for i, e := range w.entries {
		go w.limitMemory(e, &peak[i], kills)
	}
	if w.trouble {
		for i := range scheduleCount {
			w.submit(fmt.Sprintf("/batch/%016x", 0xe0000+i), "key-a", fmt.Sprintf(`{"spec":"sync","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":3000}],"repeatCount":%d,"firstMs":%d,"intervalMs":%d}`,
				scheduleOccurrences, time.Now().Add(time.Hour).UnixMilli(), scheduleInterval.Milliseconds()))
			time.Sleep(500 * time.Millisecond)
		}
	}
	accepted := map[string]time.Duration{}
	for i, end := 0, time.Now().Add(scheduleSpan); time.Now().Before(end); i++ {
		id := fmt.Sprintf("00000000000%05x", 0xb0000+i)
		if status, _ := w.send(w.entries[i%len(w.entries)], "POST", "/urgent/"+id, "key-b", `{"spec":"preview","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":200}]}`); status/100 == 2 {
			accepted[id] = w.now()
		}
		time.Sleep(smallPeriod)
	}
	time.Sleep(time.Second)
	ends := map[string]int{}
	for len(kills) > 0 {
		ends[(<-kills).name]++
	}
	often := 0
	for _, e := range w.entries {
		if ends[e.name] >= endsAllowed {
			often++
		}
	}
	never, stalled := 0, 0
	for id, at := range accepted {
		wait := w.now() - at
		if runs := w.runsOf(id + ".0.0.0"); len(runs) > 0 {
			wait = runs[0].start - at
		} else {
			never++
		}
		if wait > stallBound {
			stalled++
		}
	}
	w.record("peaks of resident memory: %v KB, limit %d KB; ended for memory: %v; on %d machines %d times or more (Fault: %t)", peak, memoryLimitKB, ends, often, endsAllowed, often >= machinesAllowed)
	if len(accepted) == 0 {
		w.cannotRun("no small submission was accepted")
	}
	w.finish(stalled > 0, "%d small submissions were accepted, %d of them had nothing running for over %s, %d have not begun at all", len(accepted), stalled, stallBound, never)
}

// limitMemory kills a process that exceeds its memory, as the platform does, and starts it
// again after a short delay.
func (w *world) limitMemory(e *entry, peak *int, kills chan<- *entry) {
	for {
		time.Sleep(50 * time.Millisecond)
		kb := residentKB(e.cmd.Process.Pid)
		*peak = max(*peak, kb)
		if kb <= memoryLimitKB {
			continue
		}
		w.record("%s has %d KB of resident memory, the limit is %d KB: the platform kills it", e.name, kb, memoryLimitKB)
		kills <- e
		e.kill()
		time.Sleep(restartDelay)
		e.start(w)
	}
}

// residentKB returns the resident memory of a process, zero if it is not known.
func residentKB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}
