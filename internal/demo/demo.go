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
	// Example is the deployment that the demo runs, Upstream its upstream.
	Example  = "grantveji"
	Upstream = "render"
	// limit bounds the whole run.
	limit = 38 * time.Second
	// poll is how often the demo looks at the state of its jobs.
	poll = 100 * time.Millisecond
	// killAfter is when an entry node is killed, after the first submission.
	killAfter = 2 * time.Second
)

// Run runs the demo, writes a report and fails if a promise was broken or the
// work did not end in time.
func Run(ctx context.Context, o devcluster.Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	all := jobs()
	if err := submit(ctx, c, all); err != nil {
		return err
	}
	fmt.Fprintf(out, "%6.1f s  %d jobs are accepted.\n", time.Since(began).Seconds(), len(all))
	if err := warmUp(ctx, c); err != nil {
		return eris.Wrap(err, "first requests")
	}
	killed := time.AfterFunc(killAfter, func() {
		c.Members[1].Kill()
		fmt.Fprintf(out, "%6.1f s  %s was killed.\n", time.Since(began).Seconds(), c.Members[1].Name)
	})
	defer killed.Stop()
	ends, err := sendRequests(ctx, c)
	if err != nil {
		return err
	}
	statuses, err := awaitJobs(ctx, c, all)
	fmt.Fprintf(out, "%6.1f s  The work has ended.\n\n", time.Since(began).Seconds())
	report(ctx, out, c, all, statuses, ends)
	if err != nil {
		return err
	}
	faults := append(checkRequests(c, ends), checkJobs(c, all, statuses)...)
	if len(faults) > 0 {
		return eris.Errorf("promises broken: %v", faults)
	}
	fmt.Fprintln(out, "\nNothing was lost or doubled.")
	return nil
}

// Publish publishes objects and waits until they are in force on every node.
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

// retry repeats f until it succeeds or ctx ends.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(poll):
		}
	}
}

// submit submits all jobs with the keys of their teams.
func submit(ctx context.Context, c *devcluster.Cluster, all []demoJob) error {
	for _, j := range all {
		client, err := c.Client(key(j.spec.Team))
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

// awaitJobs waits for the end of all jobs; services are cancelled once the
// others have ended.
func awaitJobs(ctx context.Context, c *devcluster.Cluster, all []demoJob) (map[string]gateway.JobStatus, error) {
	statuses := map[string]gateway.JobStatus{}
	for _, services := range []bool{false, true} {
		for _, j := range all {
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

// awaitJob waits for the end of one job.
func awaitJob(ctx context.Context, c *devcluster.Cluster, j demoJob, statuses map[string]gateway.JobStatus) error {
	client, err := c.Client(key(j.spec.Team))
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

// checkJobs compares the outcomes with the workers' own record.
func checkJobs(c *devcluster.Cluster, all []demoJob, statuses map[string]gateway.JobStatus) []string {
	idempotent, succeeded := map[work.JobID]bool{}, map[work.JobID]int32{}
	for _, j := range all {
		idempotent[work.JobID(j.spec.ID)] = j.spec.Idempotent
	}
	executions := c.Fleet.Journal().Executions()
	for _, x := range executions {
		if x.Ended && x.Outcome == work.Succeeded {
			succeeded[x.Attempt.Task.Job]++
		}
	}
	faults := append(standin.CheckHosts(executions), standin.CheckOnePlace(executions)...)
	faults = append(faults, standin.CheckAtMostOnce(executions, func(id work.JobID) bool { return idempotent[id] })...)
	for _, j := range all {
		told := statuses[j.spec.ID].Tasks[work.Succeeded.String()]
		if ran := succeeded[work.JobID(j.spec.ID)]; told > ran {
			faults = append(faults, fmt.Sprintf("%s: %d tasks are said to have succeeded, %d did", j.spec.ID, told, ran))
		}
		total := int32(0)
		for _, n := range statuses[j.spec.ID].Tasks {
			total += n
		}
		if total != j.spec.Tasks {
			faults = append(faults, fmt.Sprintf("%s: %d of %d tasks have an outcome", j.spec.ID, total, j.spec.Tasks))
		}
	}
	return faults
}
