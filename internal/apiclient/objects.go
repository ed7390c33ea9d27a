package apiclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// Publish applies all changes of a publication or none of them.
func (c *Client) Publish(ctx context.Context, p gateway.Publication) (result gateway.PublishResult, err error) {
	err = c.call(ctx, operation{method: http.MethodPost, path: "/v1/publications", body: p, readOnly: p.DryRun}, &result)
	return result, err
}

// Objects returns published objects; an empty kind or name selects all.
func (c *Client) Objects(ctx context.Context, kind objects.Kind, name string) (list gateway.ObjectList, err error) {
	path := "/v1/objects"
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	if kind != "" && name != "" {
		path += "/" + url.PathEscape(name)
	}
	err = c.call(ctx, operation{method: http.MethodGet, path: path, readOnly: true}, &list)
	return list, err
}

// Diff returns the changes from one revision to another.
func (c *Client) Diff(ctx context.Context, from, to uint64) (d gateway.RevisionDiff, err error) {
	path := fmt.Sprintf("/v1/diff?from=%d&to=%d", from, to)
	err = c.call(ctx, operation{method: http.MethodGet, path: path, readOnly: true}, &d)
	return d, err
}

// RevisionStatus returns on how many members a revision is in force.
func (c *Client) RevisionStatus(ctx context.Context, revision uint64) (s gateway.RevisionStatus, err error) {
	err = c.call(ctx, operation{method: http.MethodGet, path: fmt.Sprintf("/v1/revisions/%d", revision), readOnly: true}, &s)
	return s, err
}
