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
	// tickInterval is the interval at which the open-loop schedule sends work.
	tickInterval = 50 * time.Millisecond
	// meanTaskDuration is the mean run time of the tasks of the mixed load.
	meanTaskDuration = 2 * time.Second
	// demandFactor is the demand of the mixed load as a multiple of the capacity.
	demandFactor = 2
	// tasksPerJob is the number of tasks of each normal job of the mixed load.
	tasksPerJob = 10
	// urgentInterval and requestInterval are the mean times between two urgent jobs
	// and between two requests.
	urgentInterval  = 250 * time.Millisecond
	requestInterval = 20 * time.Millisecond
	// operationTimeout is the timeout of one submission or request.
	operationTimeout = 10 * time.Second
	// keySuffix is appended to the name of a team to get the secret of its example key.
	keySuffix = "-example-secret"
	// coresPerWorker is the number of cores of a stand-in worker.
	coresPerWorker = 16
	// maxInFlight is the maximum number of operations in flight. Further operations
	// are not sent and count as refused.
	maxInFlight = 4096
)

// submittedJob is a job that the load has submitted or tried to submit.
type submittedJob struct {
	spec gateway.JobSpec
	// at is the intended time of submission, on the clock of the workers' journal.
	at       time.Duration
	accepted bool
}

// load generates an open-loop load: it sends work at fixed times, regardless of
// the responses.
type load struct {
	testbed  *testbed
	clients  map[string]*apiclient.Client
	random   *rand.Rand
	teams    []string
	inFlight chan struct{}

	mu               sync.Mutex
	jobs             map[work.JobID]*submittedJob
	requestLatencies []time.Duration
	requestsSent     int
	refused          int
	wg               sync.WaitGroup
}

func newLoad(tb *testbed) (*load, error) {
	out := &load{
		testbed: tb, clients: map[string]*apiclient.Client{}, jobs: map[work.JobID]*submittedJob{},
		random: rand.New(rand.NewPCG(tb.o.Seed, 0)), inFlight: make(chan struct{}, maxInFlight),
	}
	for team := range tb.contract.Teams {
		out.teams = append(out.teams, team)
		client, err := tb.client(team + keySuffix)
		if err != nil {
			return nil, err
		}
		out.clients[team] = client
	}
	slices.Sort(out.teams)
	return out, nil
}

// mixed generates the mixed load until ctx ends: jobs of all teams with a total
// demand of demandFactor times the capacity, urgent jobs, and requests.
func (d *load) mixed(ctx context.Context) {
	sizes := []resource.Vector{{MilliCPU: 1000, MemoryMiB: 4096}, {MilliCPU: 2000, MemoryMiB: 4096}, {MilliCPU: 3000, MemoryMiB: 16384}}
	// A task requests 2 cores on average.
	tasksPerSecond := demandFactor * float64(d.testbed.o.Workers*coresPerWorker) / 2 / meanTaskDuration.Seconds()
	urgent := d.testbed.deploy.urgentTeam
	dueJobs, dueUrgent, dueRequest := 0.0, 0.0, 0.0
	team := 0
	d.everyTick(ctx, func() {
		for dueJobs += tasksPerSecond * tickInterval.Seconds() / tasksPerJob; dueJobs >= 1; dueJobs-- {
			run := time.Duration((0.5 + d.random.Float64()) * float64(meanTaskDuration))
			d.submit(ctx, d.teams[team%len(d.teams)], work.Normal, tasksPerJob, sizes[d.random.IntN(len(sizes))], run)
			team++
		}
		for dueUrgent += tickInterval.Seconds() / urgentInterval.Seconds(); dueUrgent >= 1; dueUrgent-- {
			d.submit(ctx, urgent, work.Urgent, 1, sizes[0], meanTaskDuration/10)
		}
		for dueRequest += tickInterval.Seconds() / requestInterval.Seconds(); dueRequest >= 1; dueRequest-- {
			d.request(ctx, urgent)
		}
	})
}

// everyTick calls f once per tickInterval until ctx ends, and then waits for the
// operations in flight.
func (d *load) everyTick(ctx context.Context, f func()) {
	ticker := time.NewTicker(tickInterval)
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

// submit sends one job in the background and records whether it was accepted.
func (d *load) submit(ctx context.Context, team string, class work.Class, tasks int32, size resource.Vector, run time.Duration) {
	d.mu.Lock()
	j := &submittedJob{at: d.testbed.cluster.Fleet.Journal().Now(), spec: gateway.JobSpec{
		ID: fmt.Sprintf("measure-%d", len(d.jobs)), Team: team, Queue: d.testbed.deploy.queue(team), Class: class, Tasks: tasks,
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

// request sends one request in the background and records its latency if it
// succeeds.
func (d *load) request(ctx context.Context, team string) {
	d.mu.Lock()
	d.requestsSent++
	id := fmt.Sprintf("measure-request-%d", d.requestsSent)
	d.mu.Unlock()
	intended := time.Now()
	d.send(ctx, func(ctx context.Context) {
		resp, err := d.clients[team].Request(ctx, apiclient.Request{
			Upstream: d.testbed.deploy.upstream, Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id,
			Idempotent: true, Timeout: operationTimeout,
		})
		if err == nil && resp.Status < 400 {
			d.mu.Lock()
			d.requestLatencies = append(d.requestLatencies, time.Since(intended))
			d.mu.Unlock()
		}
	})
}

// send runs one operation in the background. The operation does not end with ctx,
// so that its result is known; it has a timeout of operationTimeout.
func (d *load) send(ctx context.Context, f func(context.Context)) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.mu.Lock()
		d.refused++
		d.mu.Unlock()
		return
	}
	d.wg.Go(func() {
		defer func() { <-d.inFlight }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operationTimeout)
		defer cancel()
		f(ctx)
	})
}
