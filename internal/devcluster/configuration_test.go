package devcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// inForceBound is the time within which a publication must be in force on all
// nodes.
const inForceBound = 13 * time.Second

// clientFor returns a client of one node.
func clientFor(t *testing.T, m *Member, key string) *apiclient.Client {
	t.Helper()
	c, err := apiclient.New(apiclient.Options{Entries: []string{m.Address()}, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func limitChange(amount string) []objects.Change {
	return []objects.Change{{Kind: objects.KindLimit, Name: "orders", Spec: json.RawMessage(fmt.Sprintf(`{"amount":%q}`, amount))}}
}

// Guards against a key that is still accepted after its withdrawal, and against
// a refusal that does not say whether the work ran (I3, I6).
func TestWithdrawnKey(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	for i, m := range c.Members {
		eventually(ctx, t, "submission with the key", func() error {
			_, err := clientFor(t, m, "orders-example-secret").Submit(ctx, batchJob(fmt.Sprintf("before-%d", i), 1, true, "run=1ms"), false)
			return err
		})
	}
	if _, err := c.Publish(ctx, []objects.Change{{Kind: objects.KindKey, Name: "orders-1", Withdrawn: true}}); err != nil {
		t.Fatal(err)
	}
	bounded, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	for i, m := range c.Members {
		client := clientFor(t, m, "orders-example-secret")
		eventually(bounded, t, "refusal by "+m.Name, func() error {
			id := fmt.Sprintf("after-%d", i)
			_, err := client.Submit(ctx, batchJob(id, 1, true, "run=1ms"), false)
			if err == nil {
				return errors.New("the withdrawn key is still accepted")
			}
			if verdict.Of(err) != verdict.DidNotRun {
				t.Errorf("refusal by %s: %v", m.Name, err)
			}
			return nil
		})
		resp, err := client.Request(ctx, apiclient.Request{Upstream: "matching", Method: http.MethodPost, Path: "/work", ID: "after", Idempotent: true})
		if err == nil && (resp.Status < 400 || resp.Verdict != verdict.DidNotRun) || err != nil && verdict.Of(err) != verdict.DidNotRun {
			t.Errorf("request through %s: %d %s, %v", m.Name, resp.Status, resp.Verdict, err)
		}
	}
}

// Guards against lost updates: two operators publish concurrently, and one
// overwrites the other's change without a conflict.
func TestOperatorsRace(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	operator, err := c.Operator()
	if err != nil {
		t.Fatal(err)
	}
	// Any node may answer. With the base revision of a node that has not applied the
	// publication of the example yet, both operators would rightly get a conflict.
	var list gateway.ObjectList
	eventually(ctx, t, "the example objects on the node that answers", func() error {
		if list, err = operator.Objects(ctx, "", ""); err == nil && list.Revision == 0 {
			err = errors.New("the node has no revision yet")
		}
		return err
	})
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() {
			_, errs[i] = clientFor(t, c.Members[i], c.options.OperatorToken).Publish(ctx, gateway.Publication{
				ID: fmt.Sprintf("race-%d", i), Author: "test", BaseRevision: list.Revision, Changes: limitChange(fmt.Sprintf("%d benches", 100+i)),
			})
		})
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("want exactly one conflict, got errors %v and %v", errs[0], errs[1])
	}
	var remote *apiclient.RemoteError
	if !errors.As(errors.Join(errs...), &remote) || remote.Problem.Conflict == nil || verdict.Of(errors.Join(errs...)) != verdict.DidNotRun {
		t.Fatalf("want an error that describes a conflict, got %v", errors.Join(errs...))
	}
	if changes := remote.Problem.Conflict.Changes; len(changes) != 1 || changes[0].Kind != objects.KindLimit || changes[0].Name != "orders" {
		t.Errorf("changes of the conflict are %+v", changes)
	}
}

// Guards against a restarted node that reports ready while it still serves an
// old revision (I10).
func TestRestartedNodeServesNewestRevision(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	m := c.Members[2]
	m.Kill()
	revision, err := c.Publish(ctx, limitChange("100 benches"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.StartMember(m); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "readiness", func() error {
		resp, err := http.Get("http://" + m.Address() + "/readyz")
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return errors.Join(err, resp.Body.Close())
	})
	list, err := clientFor(t, m, c.options.OperatorToken).Objects(ctx, "", "")
	if err != nil || list.Revision < revision {
		t.Errorf("a ready node serves revision %d, want %d: %v", list.Revision, revision, err)
	}
}

// Guards against tasks that keep running above a limit after it was lowered (I4).
func TestLoweredLimit(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	// The tasks do not end by themselves within the test.
	job := batchJob("long", 300, true, "run=10m")
	eventually(ctx, t, "submission", func() error { _, err := client.Submit(ctx, job, false); return err })
	const high, low = 100, 40
	eventually(ctx, t, "tasks above the new limit", func() error {
		if n := running(c); n < high {
			return fmt.Errorf("%d tasks run", n)
		}
		return nil
	})
	if _, err := c.Publish(ctx, limitChange(fmt.Sprintf("%d benches", low))); err != nil {
		t.Fatal(err)
	}
	inForceAt := c.Fleet.Journal().Now() + inForceBound
	eventually(ctx, t, "time after the new limit is in force", func() error {
		if now := c.Fleet.Journal().Now(); now < inForceAt+5*time.Second {
			return fmt.Errorf("at %v", now)
		}
		return nil
	})
	var late []standin.Execution
	for _, x := range c.Fleet.Journal().Executions() {
		if !x.Ended || x.End > inForceAt {
			x.Start = max(x.Start, inForceAt)
			late = append(late, x)
		}
	}
	peak := standin.PeakUse(late, func(work.JobID) string { return "orders" }, func(resource.Vector, string) int64 { return 1 })["orders"]
	if peak > low || peak == 0 {
		t.Errorf("%d tasks ran at once %v after the limit was lowered to %d", peak, inForceBound, low)
	}
	checkExecutions(t, c, func(work.JobID) bool { return true })
}

// running returns the number of tasks that run according to the workers' records.
func running(c *Cluster) (n int) {
	for _, x := range c.Fleet.Journal().Executions() {
		if !x.Ended {
			n++
		}
	}
	return n
}
