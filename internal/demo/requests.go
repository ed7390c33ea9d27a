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
	// requestCount is the number of requests of the demo; every second one is
	// non-idempotent.
	requestCount = 400
	// requestEvery spreads the requests over the time in which a node dies.
	requestEvery = 15 * time.Millisecond
	// requestTimeout is the deadline of one request.
	requestTimeout = 5 * time.Second
	requestTeam    = "previews"
)

// requestEnd is what one caller was told.
type requestEnd struct {
	id         string
	idempotent bool
	verdict    verdict.Verdict
	status     int
	err        error
	took       time.Duration
}

// sendRequests sends requests through all entry nodes and returns their ends.
func sendRequests(ctx context.Context, c *devcluster.Cluster) ([]requestEnd, error) {
	client, err := apiclient.New(apiclient.Options{Entries: c.Addresses(), Key: key(requestTeam), Spread: true})
	if err != nil {
		return nil, err
	}
	ends := make([]requestEnd, requestCount)
	var wg sync.WaitGroup
	for i := range ends {
		wg.Go(func() { ends[i] = sendRequest(ctx, client, i) })
		select {
		case <-ctx.Done():
		case <-time.After(requestEvery):
		}
	}
	wg.Wait()
	return ends, nil
}

// warmUp waits until every entry node has slots: the keeper of a runner that
// has just started lends none for the length of one lease.
func warmUp(ctx context.Context, c *devcluster.Cluster) error {
	for _, address := range c.Addresses() {
		client, err := apiclient.New(apiclient.Options{Entries: []string{address}, Key: key(requestTeam)})
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

// sendRequest sends one request.
func sendRequest(ctx context.Context, client *apiclient.Client, i int) requestEnd {
	end := requestEnd{id: fmt.Sprintf("request-%d", i), idempotent: i%2 == 0}
	request := apiclient.Request{
		Upstream: Upstream, Method: http.MethodPost, Path: "/work", Body: []byte(end.id),
		ID: end.id, Idempotent: end.idempotent, Timeout: requestTimeout,
	}
	began := time.Now()
	response, err := client.Request(ctx, request)
	end.took, end.err = time.Since(began), err
	end.status, end.verdict = response.Status, response.Verdict
	if err != nil {
		end.verdict = verdict.Of(err)
	}
	return end
}

// checkRequests compares what the callers were told with what the runners recorded.
func checkRequests(c *devcluster.Cluster, ends []requestEnd) (faults []string) {
	for _, e := range ends {
		ran := 0
		for _, r := range c.Runners {
			ran += r.Executions(e.id)
		}
		switch {
		case !e.idempotent && ran > 1:
			faults = append(faults, fmt.Sprintf("non-idempotent %s ran %d times", e.id, ran))
		case e.verdict == verdict.DidNotRun && ran > 0:
			faults = append(faults, fmt.Sprintf("%s ran, its caller was told that it did not", e.id))
		case e.verdict == verdict.DidRun && ran == 0:
			faults = append(faults, fmt.Sprintf("%s did not run, its caller was told that it did", e.id))
		}
	}
	return faults
}
