package load

import (
	"context"
	"fmt"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Send sends one operation and returns its error, which carries a verdict.
type Send func(ctx context.Context, op Operation) error

// Sender returns a Send for a running cluster.
func Sender(client *apiclient.Client, o Options) Send {
	return func(ctx context.Context, op Operation) error {
		class := work.Normal
		if op.Urgent {
			class = work.Urgent
		}
		if op.Job {
			_, err := client.Submit(ctx, gateway.JobSpec{
				ID: op.ID, Team: o.Team, Queue: o.Queue, Class: class, Tasks: 1, Idempotent: !op.NonIdempotent,
				Size: resource.Vector{MilliCPU: 100, MemoryMiB: 64}, Template: "load", Command: "load",
			}, false)
			return err
		}
		method := http.MethodGet
		if op.NonIdempotent {
			method = http.MethodPost
		}
		resp, err := client.Request(ctx, apiclient.Request{
			Upstream: o.Upstream, Method: method, Path: o.Path, Idempotent: !op.NonIdempotent, ID: op.ID, Class: class, Timeout: o.Deadline,
		})
		if err == nil && resp.Status >= 400 {
			err = verdict.Wrap(fmt.Errorf("status %d", resp.Status), resp.Verdict, "status")
		}
		return err
	}
}
