package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	standinlog "github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
)

// logOutageDuration is the length of the log outage in a run with faults.
const logOutageDuration = 4 * time.Second

// faults injects the faults of a run and records them with their times.
type faults struct {
	testbed *testbed

	mu       sync.Mutex
	faultLog []string
	// workerDownFrom is when the worker was killed, workerDownTo when it was
	// restarted, on the clock of the workers' journal; zero if that did not happen.
	workerDownFrom, workerDownTo time.Duration
}

// run kills a worker, kills an entry node, restarts the worker and makes the log
// unavailable, one after the other at intervals of an eighth of the run. Then it
// ends the log outage. The entry node stays down.
func (f *faults) run(ctx context.Context) {
	tb, interval := f.testbed, f.testbed.o.Duration/8
	worker := "worker-001"
	steps := []func() string{
		func() string {
			tb.cluster.Fleet.Agent(worker).Kill()
			f.recordTime(&f.workerDownFrom)
			return worker + " killed"
		},
		func() string { tb.processes[1].kill(); return tb.processes[1].name + " killed" },
		func() string {
			tb.cluster.Fleet.Agent(worker).Restart()
			f.recordTime(&f.workerDownTo)
			return worker + " back"
		},
		func() string { tb.cluster.Log.SetFaults(standinlog.Faults{Unavailable: true}); return "log away" },
	}
	for _, step := range steps {
		if !ctxtime.Sleep(ctx, interval) {
			return
		}
		f.logFault(step())
	}
	ctxtime.Sleep(ctx, logOutageDuration)
	tb.cluster.Log.SetFaults(standinlog.Faults{})
	f.logFault("log back")
}

func (f *faults) logFault(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultLog = append(f.faultLog, fmt.Sprintf("%.1f s: %s", f.testbed.cluster.Fleet.Journal().Now().Seconds(), what))
}

func (f *faults) recordTime(at *time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*at = f.testbed.cluster.Fleet.Journal().Now()
}

// capacity returns the total capacity of the workers that were alive at a time.
func (f *faults) capacity(at time.Duration) resource.Vector {
	f.mu.Lock()
	defer f.mu.Unlock()
	workers := int64(f.testbed.o.Workers)
	if f.workerDownFrom > 0 && at >= f.workerDownFrom && (f.workerDownTo == 0 || at < f.workerDownTo) {
		workers--
	}
	return resource.Vector{MilliCPU: coresPerWorker * 1000, MemoryMiB: 65536}.Scale(workers)
}
