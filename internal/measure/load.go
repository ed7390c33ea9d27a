package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// tick is the interval of the open-loop schedule.
	tick = 50 * time.Millisecond
	// taskRun is how long a task of the mixed load runs on average.
	taskRun = 2 * time.Second
	// pressure is the demand of the mixed load relative to the capacity.
	pressure = 2
	// tasksPerJob is the size of a job of the mixed load.
	tasksPerJob = 10
	// urgentEvery and requestEvery are the intervals of urgent jobs and requests.
	urgentEvery  = 250 * time.Millisecond
	requestEvery = 20 * time.Millisecond
	// operationLimit bounds one submission or request.
	operationLimit = 10 * time.Second
	// keySuffix follows the name of a team in the secrets of the examples.
	keySuffix = "-example-secret"
	// coresPerWorker is the size of the stand-in workers.
	coresPerWorker = 16
	// maxPending bounds the operations in flight; those beyond it are refused.
	maxPending = 4096
)

// submitted is a job that was sent.
type submitted struct {
	spec gateway.JobSpec
	// at is the intended time of submission on the clock of the workers' journal.
	at       time.Duration
	accepted bool
}

// load sends work at fixed times, whatever the responses are.
type load struct {
	lab     *lab
	clients map[string]*apiclient.Client
	random  *rand.Rand
	teams   []string
	places  chan struct{}

	mu       sync.Mutex
	jobs     map[work.JobID]*submitted
	requests []time.Duration
	sent     int
	refused  int
	wg       sync.WaitGroup
}

func newLoad(l *lab) (*load, error) {
	out := &load{
		lab: l, clients: map[string]*apiclient.Client{}, jobs: map[work.JobID]*submitted{},
		random: rand.New(rand.NewPCG(l.o.Seed, 0)), places: make(chan struct{}, maxPending),
	}
	for team := range l.contract.Teams {
		out.teams = append(out.teams, team)
		client, err := l.client(team + keySuffix)
		if err != nil {
			return nil, err
		}
		out.clients[team] = client
	}
	slices.Sort(out.teams)
	return out, nil
}

// mixed sends jobs of all teams that want twice the capacity, urgent jobs and
// requests until ctx ends.
func (d *load) mixed(ctx context.Context) {
	sizes := []resource.Vector{{MilliCPU: 1000, MemoryMiB: 4096}, {MilliCPU: 2000, MemoryMiB: 4096}, {MilliCPU: 3000, MemoryMiB: 16384}}
	// The mean task takes 2 processors.
	tasksPerSecond := pressure * float64(d.lab.o.Workers*coresPerWorker) / 2 / taskRun.Seconds()
	urgent := d.lab.deploy.urgentTeam
	due, dueUrgent, dueRequest := 0.0, 0.0, 0.0
	team := 0
	d.everyTick(ctx, func() {
		for due += tasksPerSecond * tick.Seconds() / tasksPerJob; due >= 1; due-- {
			run := time.Duration((0.5 + d.random.Float64()) * float64(taskRun))
			d.submit(ctx, d.teams[team%len(d.teams)], work.Normal, tasksPerJob, sizes[d.random.IntN(len(sizes))], run)
			team++
		}
		for dueUrgent += tick.Seconds() / urgentEvery.Seconds(); dueUrgent >= 1; dueUrgent-- {
			d.submit(ctx, urgent, work.Urgent, 1, sizes[0], taskRun/10)
		}
		for dueRequest += tick.Seconds() / requestEvery.Seconds(); dueRequest >= 1; dueRequest-- {
			d.request(ctx, urgent)
		}
	})
}

// everyTick calls f at fixed times until ctx ends, and then waits for the
// operations in flight.
func (d *load) everyTick(ctx context.Context, f func()) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.wg.Wait()
			return
		case <-ticker.C:
			f()
		}
	}
}

// submit sends one job.
func (d *load) submit(ctx context.Context, team string, class work.Class, tasks int32, size resource.Vector, run time.Duration) {
	d.mu.Lock()
	j := &submitted{at: d.lab.cluster.Fleet.Journal().Now(), spec: gateway.JobSpec{
		ID: fmt.Sprintf("measure-%d", len(d.jobs)), Team: team, Queue: d.lab.deploy.queue(team), Class: class, Tasks: tasks,
		Size: size, Idempotent: true, Command: "run=" + run.String(),
	}}
	d.jobs[work.JobID(j.spec.ID)] = j
	d.mu.Unlock()
	d.send(ctx, func(ctx context.Context) {
		_, err := d.clients[team].Submit(ctx, j.spec, false)
		d.mu.Lock()
		defer d.mu.Unlock()
		j.accepted = verdict.Of(err) != verdict.DidNotRun || err == nil
		if err != nil {
			d.refused++
		}
	})
}

// request sends one request.
func (d *load) request(ctx context.Context, team string) {
	d.mu.Lock()
	d.sent++
	id := fmt.Sprintf("measure-request-%d", d.sent)
	d.mu.Unlock()
	intended := time.Now()
	d.send(ctx, func(ctx context.Context) {
		resp, err := d.clients[team].Request(ctx, apiclient.Request{
			Upstream: d.lab.deploy.upstream, Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id,
			Idempotent: true, Timeout: operationLimit,
		})
		if err == nil && resp.Status < 400 {
			d.mu.Lock()
			d.requests = append(d.requests, time.Since(intended))
			d.mu.Unlock()
		}
	})
}

// send runs one operation. It outlives ctx so that its end is known.
func (d *load) send(ctx context.Context, f func(context.Context)) {
	select {
	case d.places <- struct{}{}:
	default:
		d.mu.Lock()
		d.refused++
		d.mu.Unlock()
		return
	}
	d.wg.Go(func() {
		defer func() { <-d.places }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operationLimit)
		defer cancel()
		f(ctx)
	})
}
