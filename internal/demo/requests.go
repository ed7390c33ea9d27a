package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	// requestCount is the number of requests of the demo. Every second request is
	// non-idempotent.
	requestCount = 400
	// requestInterval is the time between two requests. It spreads them over the
	// time in which a node is killed.
	requestInterval = 15 * time.Millisecond
	// requestTimeout is the timeout of one request.
	requestTimeout = 5 * time.Second
	requestTeam    = "previews"
)

// requestResult is the result of one request as its caller received it.
type requestResult struct {
	id         string
	idempotent bool
	verdict    verdict.Verdict
	status     int
	err        error
	took       time.Duration
}

// sendRequests sends the requests through all entry nodes and returns their
// results.
func sendRequests(ctx context.Context, c *devcluster.Cluster) ([]requestResult, error) {
	client, err := apiclient.New(apiclient.Options{Entries: c.Addresses(), Key: teamKey(requestTeam), RoundRobin: true})
	if err != nil {
		return nil, err
	}
	results := make([]requestResult, requestCount)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = sendRequest(ctx, client, i) })
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
	wg.Wait()
	return results, nil
}

// warmUp waits until every entry node has slots. After a start, the node that
// grants the slot leases of a runner grants none for the length of one lease.
func warmUp(ctx context.Context, c *devcluster.Cluster) error {
	for _, address := range c.Addresses() {
		client, err := apiclient.New(apiclient.Options{Entries: []string{address}, Key: teamKey(requestTeam)})
		if err != nil {
			return err
		}
		err = retry(ctx, func() error {
			_, err := client.Request(ctx, apiclient.Request{
				Upstream: Upstream, Method: http.MethodPost, Path: "/work", ID: "warm-up", Idempotent: true, Timeout: requestTimeout,
			})
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sendRequest sends request number i and returns its result.
func sendRequest(ctx context.Context, client *apiclient.Client, i int) requestResult {
	result := requestResult{id: fmt.Sprintf("request-%d", i), idempotent: i%2 == 0}
	request := apiclient.Request{
		Upstream: Upstream, Method: http.MethodPost, Path: "/work", Body: []byte(result.id),
		ID: result.id, Idempotent: result.idempotent, Timeout: requestTimeout,
	}
	began := time.Now()
	response, err := client.Request(ctx, request)
	result.took, result.err = time.Since(began), err
	result.status, result.verdict = response.Status, response.Verdict
	if err != nil {
		result.verdict = verdict.Of(err)
	}
	return result
}

// checkRequests compares the verdicts that the callers received with the
// executions that the runners recorded, and returns the violations.
func checkRequests(c *devcluster.Cluster, results []requestResult) (violations []string) {
	for _, e := range results {
		ran := 0
		for _, r := range c.Runners {
			ran += r.Executions(e.id)
		}
		switch {
		case !e.idempotent && ran > 1:
			violations = append(violations, fmt.Sprintf("non-idempotent %s ran %d times", e.id, ran))
		case e.verdict == verdict.DidNotRun && ran > 0:
			violations = append(violations, fmt.Sprintf("%s ran, but its caller was told that it did not", e.id))
		case e.verdict == verdict.DidRun && ran == 0:
			violations = append(violations, fmt.Sprintf("%s did not run, but its caller was told that it did", e.id))
		}
	}
	return violations
}
