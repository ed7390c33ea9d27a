package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Run is one run of a schedule.
type Run struct {
	o              Options
	send           Send
	jobs, requests *record
	started, ended atomic.Int64
	total          int
}

// New prepares a run. Options must have passed Check.
func New(o Options, send Send) *Run {
	jobs, requests := planned(o)
	return &Run{o: o, send: send, jobs: newRecord("jobs", jobs), requests: newRecord("requests", requests), total: jobs + requests}
}

// Run sends the schedule and waits for all responses. When ctx is done it
// sends nothing more.
func (r *Run) Run(ctx context.Context) {
	// Ids differ between runs, so that a second run submits new work.
	s := newSchedule(r.o, "load-"+uuid.NewString()[:8])
	places := make(chan struct{}, r.o.InFlight)
	var group sync.WaitGroup
	defer group.Wait()
	begin := time.Now()
	for op, ok := s.next(); ok; op, ok = s.next() {
		intended := begin.Add(op.At)
		if !sleepUntil(ctx, intended) {
			return
		}
		r.started.Add(1)
		select {
		case places <- struct{}{}:
		default:
			// Waiting for a place would turn the open loop into a closed one.
			r.of(op).skip()
			r.ended.Add(1)
			continue
		}
		group.Go(func() {
			defer func() { <-places }()
			r.one(ctx, op, intended)
		})
	}
}

func (r *Run) one(ctx context.Context, op Operation, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.o.Deadline))
	defer cancel()
	err := r.send(ctx, op)
	r.of(op).add(time.Since(intended), err == nil, verdict.Of(err))
	r.ended.Add(1)
}

func (r *Run) of(op Operation) *record {
	if op.Job {
		return r.jobs
	}
	return r.requests
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// Progress returns how many operations were due, have ended and are planned.
func (r *Run) Progress() (started, ended int64, total int) {
	return r.started.Load(), r.ended.Load(), r.total
}

// Report returns the result of the run.
func (r *Run) Report() Report {
	return Report{Seed: r.o.Seed, Rate: r.o.Rate, Seconds: r.o.Duration.Seconds(), Kinds: []KindReport{r.jobs.report(), r.requests.report()}}
}
