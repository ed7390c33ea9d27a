package apiclient

import (
	"context"
	"encoding/json"
	"net/http"
)

// Entries returns the base URLs of the entry nodes.
func (c *Client) Entries() []string { return c.options.Entries }

// Dump returns the state of the process at one entry address.
func (c *Client) Dump(ctx context.Context, entry string) (state json.RawMessage, err error) {
	op := operation{method: http.MethodGet, path: "/v1/dump", readOnly: true}
	if failed := c.callOnce(ctx, entry, op, nil, &state); failed != nil {
		return nil, failed
	}
	return state, nil
}

// Drain starts a planned stop of the process at one entry address.
func (c *Client) Drain(ctx context.Context, entry string) error {
	if failed := c.callOnce(ctx, entry, operation{method: http.MethodPost, path: "/v1/drain"}, nil, nil); failed != nil {
		return failed
	}
	return nil
}
