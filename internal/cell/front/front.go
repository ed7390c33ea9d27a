package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// defaultPatience bounds a call without a deadline.
	defaultPatience = 3 * time.Second
	// answerMargin is the part of a deadline that is left for the answer to travel.
	answerMargin = 100 * time.Millisecond
	// defaultBodyBytes bounds a body while no published limit is known.
	defaultBodyBytes = 256 << 10
)

// State is what a node knows.
type State interface {
	// Refresh reads the desired state again if it has not been read lately.
	Refresh(ctx context.Context)
	// Desired returns the objects in force, and whether they are known to be fresh.
	Desired() (d *cell.Desired, fresh bool)
	// Find returns what is stored about a submission.
	Find(id string) (registry.Entry, bool)
	// Pending returns how many accepted submissions of a queue have not begun.
	Pending(queue string) int
	// CatchUp returns once everything stored before the call is known.
	CatchUp(ctx context.Context) error
	// Current reports whether the state of submissions is up to date.
	Current() bool
	// Cut reports whether the store does not answer this node.
	Cut() bool
}

// Log stores records.
type Log interface {
	Append(ctx context.Context, r platform.Record) error
}

// Peers lets other nodes answer calls.
type Peers interface {
	Forward(ctx context.Context, r *peers.ForwardRequest) (*peers.ForwardResponse, error)
}

// Front serves callers.
type Front struct {
	State   State
	Records Log
	Peers   Peers
	Logger  *slog.Logger
	Wall    func() time.Duration
	// Metrics counts answers by status; nil for none.
	Metrics  tally.Scope
	draining atomic.Bool
}

// Drain makes every answer close its connection.
func (f *Front) Drain() { f.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	most := int64(defaultBodyBytes)
	if d, _ := f.State.Desired(); d != nil && d.Limits.BodyBytes > 0 {
		most = int64(d.Limits.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		write(w, refused(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(most, 10)+" bytes"))
		return
	case err != nil:
		write(w, refused(http.StatusBadRequest, "the body cannot be read"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience(r.Header))
	defer cancel()
	request := &peers.ForwardRequest{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, Authorization: r.Header.Get("Authorization"), Body: body,
	}
	a := f.serve(ctx, request)
	if f.Metrics != nil {
		f.Metrics.Tagged(map[string]string{"method": r.Method, "status": strconv.Itoa(a.Status)}).Counter("answers").Inc(1)
	}
	write(w, a)
}

// serve answers a call of a caller, if need be through another node.
func (f *Front) serve(ctx context.Context, r *peers.ForwardRequest) *peers.ForwardResponse {
	if !f.State.Cut() {
		return f.Answer(ctx, r, f.Peers)
	}
	a, err := f.Peers.Forward(ctx, r)
	if err == nil {
		return a
	}
	a = f.Answer(ctx, r, f.Peers)
	if a.Status != http.StatusOK && r.Changes() && verdict.Of(err) != verdict.DidNotRun {
		// The other node may have stored the work before its answer was lost.
		return refused(http.StatusGatewayTimeout, "another node has not answered; the outcome is open")
	}
	return a
}

// patience returns how long a call may take.
func patience(h http.Header) time.Duration {
	d := defaultPatience
	if ms, err := strconv.ParseInt(h.Get(platform.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return max(d-answerMargin, answerMargin)
}

// Answer answers a call. others may be nil for a call that was forwarded.
func (f *Front) Answer(ctx context.Context, r *peers.ForwardRequest, others Peers) *peers.ForwardResponse {
	f.State.Refresh(ctx)
	d, fresh := f.State.Desired()
	if d == nil {
		return unavailable("no desired state is known yet")
	}
	host, _, _ := strings.Cut(r.Host, ":")
	q, id, ok := d.Route(host, r.Path)
	if !ok {
		return refused(http.StatusNotFound, "no queue has this host and path")
	}
	c := call{front: f, request: r, others: others, queue: q, id: id}
	if !q.Open {
		if !fresh {
			return unavailable("keys cannot be checked, since the desired state may be old")
		}
		key, ok := platform.Key(r.Authorization)
		if ok {
			c.team, ok = d.TeamOf(key)
		}
		if !ok {
			return refused(http.StatusUnauthorized, "the key is unknown")
		}
	}
	if q.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Timeout)
		defer cancel()
	}
	return c.answer(ctx)
}

// refused returns a refusal. It is final.
func refused(status int, reason string) *peers.ForwardResponse {
	return &peers.ForwardResponse{Status: status, Body: platform.EncodeError(reason)}
}

// retryAfterSeconds is when a caller may come back after the store was unavailable.
const retryAfterSeconds = 1

// unavailable returns a refusal of a call that has not run and may be repeated.
func unavailable(reason string) *peers.ForwardResponse {
	a := refused(http.StatusServiceUnavailable, reason)
	a.RetryAfterSeconds = retryAfterSeconds
	return a
}

func write(w http.ResponseWriter, a *peers.ForwardResponse) {
	if a.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfterSeconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that has left needs no answer
}
