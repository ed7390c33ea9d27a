package apiclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
)

// Submit submits a job, and waits until it has ended if wait is true.
func (c *Client) Submit(ctx context.Context, job gateway.JobSpec, wait bool) (status gateway.JobStatus, err error) {
	path := "/v1/jobs"
	if wait {
		path += "?wait=true"
	}
	err = c.call(ctx, operation{method: http.MethodPost, path: path, body: job}, &status)
	return status, err
}

// SubmitBatch submits several jobs in one request. Each is accepted or refused on
// its own.
func (c *Client) SubmitBatch(ctx context.Context, jobs []gateway.JobSpec) ([]gateway.BatchResult, error) {
	body := struct {
		Jobs []gateway.JobSpec `json:"jobs"`
	}{jobs}
	var answer struct {
		Results []gateway.BatchResult `json:"results"`
	}
	err := c.call(ctx, operation{method: http.MethodPost, path: "/v1/batches", body: body}, &answer)
	return answer.Results, err
}

// Status returns what is known about a job.
func (c *Client) Status(ctx context.Context, id string) (status gateway.JobStatus, err error) {
	err = c.call(ctx, operation{method: http.MethodGet, path: jobPath(id), readOnly: true}, &status)
	return status, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (status gateway.JobStatus, err error) {
	err = c.call(ctx, operation{method: http.MethodDelete, path: jobPath(id)}, &status)
	return status, err
}

// Explain returns why a job waits or where it runs.
func (c *Client) Explain(ctx context.Context, id string) (e gateway.Explanation, err error) {
	err = c.call(ctx, operation{method: http.MethodGet, path: jobPath(id) + "/explain", readOnly: true}, &e)
	return e, err
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }
