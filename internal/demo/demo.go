package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// Example is the example deployment that the demo runs, Upstream the upstream
	// that its requests are sent to.
	Example  = "grantveji"
	Upstream = "render"
	// runTimeout limits the duration of the whole run.
	runTimeout = 38 * time.Second
	// pollInterval is the time between two attempts of a call that is retried,
	// such as the query of a job's state.
	pollInterval = 100 * time.Millisecond
	// killDelay is the time between the end of the warm-up requests and the kill of
	// an entry node.
	killDelay = 2 * time.Second
)

// Run runs the demo and writes a report to out. It returns an error if an
// invariant was violated or if the work did not end in time.
func Run(ctx context.Context, o devcluster.Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	o.Upstream = Upstream
	began := time.Now()
	c, err := devcluster.Start(o)
	if err != nil {
		return err
	}
	defer c.Close()
	changes, err := devcluster.ExampleChanges(Example)
	if err != nil {
		return err
	}
	if err := Publish(ctx, c, changes); err != nil {
		return err
	}
	fmt.Fprintf(out, "%6.1f s  %d entry nodes, %d workers and %d runners run the %s example.\n", time.Since(began).Seconds(), o.Nodes, o.Workers, o.Runners, Example)
	demoJobs := jobs()
	if err := submit(ctx, c, demoJobs); err != nil {
		return err
	}
	fmt.Fprintf(out, "%6.1f s  %d jobs are accepted.\n", time.Since(began).Seconds(), len(demoJobs))
	if err := warmUp(ctx, c); err != nil {
		return eris.Wrap(err, "warm-up requests")
	}
	killTimer := time.AfterFunc(killDelay, func() {
		c.Members[1].Kill()
		fmt.Fprintf(out, "%6.1f s  %s was killed.\n", time.Since(began).Seconds(), c.Members[1].Name)
	})
	defer killTimer.Stop()
	results, err := sendRequests(ctx, c)
	if err != nil {
		return err
	}
	statuses, err := awaitJobs(ctx, c, demoJobs)
	fmt.Fprintf(out, "%6.1f s  The work has ended.\n\n", time.Since(began).Seconds())
	report(ctx, out, c, demoJobs, statuses, results)
	if err != nil {
		return err
	}
	violations := append(checkRequests(c, results), checkJobs(c, demoJobs, statuses)...)
	if len(violations) > 0 {
		return eris.Errorf("invariants violated: %v", violations)
	}
	fmt.Fprintln(out, "\nNothing was lost or doubled.")
	return nil
}

// Publish publishes objects, with retries until ctx ends, and waits until they
// are in force on every node.
func Publish(ctx context.Context, c *devcluster.Cluster, changes []objects.Change) error {
	operator, err := c.Operator()
	if err != nil {
		return err
	}
	var revision uint64
	err = retry(ctx, func() (err error) {
		revision, err = c.Publish(ctx, changes)
		return err
	})
	if err != nil {
		return eris.Wrap(err, "publish the objects")
	}
	return retry(ctx, func() error {
		status, err := operator.RevisionStatus(ctx, revision)
		if err == nil && status.InForce < len(c.Members) {
			err = eris.Errorf("revision %d is in force on %d of %d nodes", revision, status.InForce, len(c.Members))
		}
		return err
	})
}

// retry calls f until it succeeds. When ctx ends, it returns the last error of f.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// submit submits all jobs, each with the key of its team.
func submit(ctx context.Context, c *devcluster.Cluster, demoJobs []demoJob) error {
	for _, j := range demoJobs {
		client, err := c.Client(teamKey(j.spec.Team))
		if err != nil {
			return err
		}
		err = retry(ctx, func() error {
			_, err := client.Submit(ctx, j.spec, false)
			return err
		})
		if err != nil {
			return eris.Wrapf(err, "submit %s", j.spec.ID)
		}
	}
	return nil
}

// awaitJobs waits until all jobs have ended. Services run until they are
// cancelled, so it cancels them once the other jobs have ended.
func awaitJobs(ctx context.Context, c *devcluster.Cluster, demoJobs []demoJob) (map[string]gateway.JobStatus, error) {
	statuses := map[string]gateway.JobStatus{}
	for _, services := range []bool{false, true} {
		for _, j := range demoJobs {
			if j.service != services {
				continue
			}
			if err := awaitJob(ctx, c, j, statuses); err != nil {
				return statuses, err
			}
		}
	}
	return statuses, nil
}

// awaitJob waits until one job has ended and stores its last status in statuses.
// It cancels a service first.
func awaitJob(ctx context.Context, c *devcluster.Cluster, j demoJob, statuses map[string]gateway.JobStatus) error {
	client, err := c.Client(teamKey(j.spec.Team))
	if err != nil {
		return err
	}
	err = retry(ctx, func() error {
		if j.service {
			if _, err := client.Cancel(ctx, j.spec.ID); err != nil {
				return err
			}
		}
		status, err := client.Status(ctx, j.spec.ID)
		statuses[j.spec.ID] = status
		if err == nil && status.State != gateway.StateEnded {
			err = eris.Errorf("state %s, tasks %v", status.State, status.Tasks)
		}
		return err
	})
	return eris.Wrapf(err, "end of %s", j.spec.ID)
}

// checkJobs compares the reported outcomes of the jobs with the executions that
// the workers recorded, and returns the violations.
func checkJobs(c *devcluster.Cluster, demoJobs []demoJob, statuses map[string]gateway.JobStatus) []string {
	idempotent, succeeded := map[work.JobID]bool{}, map[work.JobID]int32{}
	for _, j := range demoJobs {
		idempotent[work.JobID(j.spec.ID)] = j.spec.Idempotent
	}
	executions := c.Fleet.Journal().Executions()
	for _, x := range executions {
		if x.Ended && x.Outcome == work.Succeeded {
			succeeded[x.Attempt.Task.Job]++
		}
	}
	violations := append(standin.CheckHosts(executions), standin.CheckNoConcurrentAttempts(executions)...)
	violations = append(violations, standin.CheckAtMostOnce(executions, func(id work.JobID) bool { return idempotent[id] })...)
	for _, j := range demoJobs {
		reported := statuses[j.spec.ID].Tasks[work.Succeeded.String()]
		if ran := succeeded[work.JobID(j.spec.ID)]; reported > ran {
			violations = append(violations, fmt.Sprintf("%s: %d tasks are reported as succeeded, the workers recorded %d", j.spec.ID, reported, ran))
		}
		total := int32(0)
		for _, n := range statuses[j.spec.ID].Tasks {
			total += n
		}
		if total != j.spec.Tasks {
			violations = append(violations, fmt.Sprintf("%s: %d of %d tasks have an outcome", j.spec.ID, total, j.spec.Tasks))
		}
	}
	return violations
}
