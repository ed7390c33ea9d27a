package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Run executes one schedule.
type Run struct {
	options        Options
	send           Send
	jobs, requests *recorder
	started, ended atomic.Int64
	total          int
}

// New returns a run that sends operations with send. The options must have passed
// Check.
func New(o Options, send Send) *Run {
	jobs, requests := countPlanned(o)
	return &Run{options: o, send: send, jobs: newRecorder("jobs", jobs), requests: newRecorder("requests", requests), total: jobs + requests}
}

// Run sends all operations of the schedule and waits for their responses. Once
// ctx is done it sends no more.
func (r *Run) Run(ctx context.Context) {
	// The prefix of the IDs differs between runs, so that a second run submits new
	// work.
	s := newSchedule(r.options, "load-"+uuid.NewString()[:8])
	slots := make(chan struct{}, r.options.InFlight)
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
		case slots <- struct{}{}:
		default:
			// Waiting for a free slot would turn the open loop into a closed one.
			r.recorderOf(op).skip()
			r.ended.Add(1)
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			r.runOperation(ctx, op, intended)
		})
	}
}

func (r *Run) runOperation(ctx context.Context, op Operation, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.options.Deadline))
	defer cancel()
	err := r.send(ctx, op)
	r.recorderOf(op).add(time.Since(intended), err == nil, verdict.Of(err))
	r.ended.Add(1)
}

func (r *Run) recorderOf(op Operation) *recorder {
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
	return Report{Seed: r.options.Seed, Rate: r.options.Rate, Seconds: r.options.Duration.Seconds(), Kinds: []KindReport{r.jobs.report(), r.requests.report()}}
}
