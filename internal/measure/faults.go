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

// logAway is how long the log is away in a run with faults.
const logAway = 4 * time.Second

// faults carries out the faults of a run and keeps what it did.
type faults struct {
	lab *lab

	mu   sync.Mutex
	done []string
	// downFrom is when a worker was killed, on the journal's clock; zero if none was.
	downFrom, downTo time.Duration
}

// run kills a worker and an entry node and takes the log away, each at its own
// part of the run, and brings them back.
func (f *faults) run(ctx context.Context) {
	l, part := f.lab, f.lab.o.Duration/8
	worker := "worker-001"
	steps := []func() string{
		func() string {
			l.cluster.Fleet.Agent(worker).Kill()
			f.setDown(&f.downFrom)
			return worker + " killed"
		},
		func() string { l.processes[1].kill(); return l.processes[1].name + " killed" },
		func() string {
			l.cluster.Fleet.Agent(worker).Restart()
			f.setDown(&f.downTo)
			return worker + " back"
		},
		func() string { l.cluster.Log.SetFaults(standinlog.Faults{Away: true}); return "log away" },
	}
	for _, step := range steps {
		if !ctxtime.Sleep(ctx, part) {
			return
		}
		f.note(step())
	}
	ctxtime.Sleep(ctx, logAway)
	l.cluster.Log.SetFaults(standinlog.Faults{})
	f.note("log back")
}

func (f *faults) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = append(f.done, fmt.Sprintf("%.1f s: %s", f.lab.cluster.Fleet.Journal().Now().Seconds(), what))
}

func (f *faults) setDown(at *time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*at = f.lab.cluster.Fleet.Journal().Now()
}

// capacity returns what the live workers held at a time.
func (f *faults) capacity(at time.Duration) resource.Vector {
	f.mu.Lock()
	defer f.mu.Unlock()
	workers := int64(f.lab.o.Workers)
	if f.downFrom > 0 && at >= f.downFrom && (f.downTo == 0 || at < f.downTo) {
		workers--
	}
	return resource.Vector{MilliCPU: coresPerWorker * 1000, MemoryMiB: 65536}.Scale(workers)
}
