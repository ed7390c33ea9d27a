package front

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// defaultCallTimeout limits a call whose caller sends no deadline.
	defaultCallTimeout = 3 * time.Second
	// responseMargin is the part of the caller's deadline that is kept free for the
	// network transfer of the response.
	responseMargin = 100 * time.Millisecond
	// defaultBodyBytes limits a request body while the desired state sets no limit.
	defaultBodyBytes = cell.DefaultBodyBytes
	// maxBodyBytes bounds a request body whatever the desired state allows. The store
	// takes no record that is as large.
	maxBodyBytes = cell.MaxBodyBytes
	// maxCallTimeout bounds the deadline that a caller may set.
	maxCallTimeout = 5 * time.Minute
)

// State is the state of the cell as one node has read it from the store.
type State interface {
	// Refresh reads the desired state again if the last read is too old.
	Refresh(ctx context.Context)
	// Desired returns the applied desired state, nil before the first read, and
	// whether it is fresh enough to decide calls on it.
	Desired() (d *cell.Desired, fresh bool)
	// DesiredAge returns how long ago the applied desired state was known to be the
	// newest one.
	DesiredAge() time.Duration
	// Find returns what is stored about a submission, false if nothing is.
	Find(id string) (registry.Entry, bool)
	// Storage returns how much memory the stored submissions take in all, and how much those
	// of a team do, in bytes.
	Storage(team string) (total, ofTeam int64)
	// Pending returns how many accepted submissions have not started, of those whose queue at
	// the time of acceptance belongs to the queue that is asked for.
	Pending(belongs func(accepted *cell.Queue) bool) int
	// CatchUp returns once every record stored before the call has been applied. It
	// returns an error if the store cannot be read in time.
	CatchUp(ctx context.Context) error
	// SubmissionsFresh reports whether the state of submissions is recent enough to be
	// reported to callers.
	SubmissionsFresh() bool
	// StoreAnswerTime returns the usual time of an answer of the store.
	StoreAnswerTime() time.Duration
	// Disconnected reports whether this node has no recent read of the work topic,
	// so that calls are better answered by another node.
	Disconnected() bool
}

// RecordAppender appends records to the work topic. The verdict of an error tells
// whether the record may have been stored.
type RecordAppender interface {
	Append(ctx context.Context, r platform.Record) error
	// MayStore reports whether this process may still store a record with the key, since its
	// append is open.
	MayStore(key string) bool
}

// Forwarder forwards calls to other nodes. The verdict of an error tells whether
// another node may have acted on the call.
type Forwarder interface {
	Forward(ctx context.Context, r *peers.CallRequest) (*peers.CallResponse, error)
}

// Handler answers the HTTP calls of callers.
type Handler struct {
	State     State
	Records   RecordAppender
	Forwarder Forwarder
	Logger    *slog.Logger
	// MaxStorage is how much memory the stored submissions may take, in bytes; zero for no
	// bound. Beyond it submissions are refused.
	MaxStorage int64
	// Bodies bounds the memory of request bodies; nil for no bound.
	Bodies *Bodies
	// Admission decides which submissions are refused since they would end too late; nil
	// accepts all.
	Admission Admission
	// WallClock returns the wall-clock time since the Unix epoch.
	WallClock func() time.Duration
	// Metrics counts responses by method and status; nil disables the count.
	Metrics  tally.Scope
	draining atomic.Bool
	attempts attempts
}

// Drain makes every later response close its connection, so that callers connect
// elsewhere.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.logPanic(r)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	body, release, refusal := h.receive(w, r)
	if refusal != nil {
		h.respond(w, r, h.UnlessStored(r.Method, r.URL.Path, refusal))
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout(r.Header))
	defer cancel()
	request := &peers.CallRequest{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, Authorization: r.Header.Get("Authorization"), Body: body,
	}
	resp := h.track(request, func() *peers.CallResponse { return h.forwardOrAnswer(ctx, request) })
	if resp.Node != "" && !resp.Succeeded() {
		h.Logger.Info("The refusal of another node was passed on.", "status", resp.Status, "method", r.Method, "path", r.URL.Path, "node", resp.Node)
	}
	if h.Metrics != nil {
		h.Metrics.Tagged(map[string]string{"method": r.Method, "status": strconv.Itoa(resp.Status)}).Counter("answers").Inc(1)
	}
	h.respond(w, r, resp)
}

// logPanic logs a panic of the handler and closes the connection without a response,
// since the outcome of the call is open.
func (h *Handler) logPanic(r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	h.Logger.Error("A call failed unexpectedly; its connection is closed.", "method", r.Method, "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
	panic(http.ErrAbortHandler)
}

// forwardOrAnswer answers a call. A disconnected node forwards it to another node first, and
// answers it itself if that fails.
func (h *Handler) forwardOrAnswer(ctx context.Context, r *peers.CallRequest) *peers.CallResponse {
	if !h.State.Disconnected() {
		return h.Answer(ctx, r, h.Forwarder)
	}
	resp, err := h.Forwarder.Forward(ctx, r)
	if err == nil {
		return resp
	}
	if r.IsWrite() && verdict.Of(err) != verdict.DidNotRun && acceptance.IsSlow(h.State.StoreAnswerTime()) {
		// The other node may be about to store the work; a second append would only make
		// a slow store slower.
		return errorResponse(http.StatusGatewayTimeout, "another node did not answer; the outcome is unknown")
	}
	r.MayBeStored = r.MayBeStored || r.IsWrite() && verdict.Of(err) != verdict.DidNotRun
	resp = h.Answer(ctx, r, h.Forwarder)
	if !resp.Succeeded() && r.IsWrite() && verdict.Of(err) != verdict.DidNotRun {
		// The other node may have stored the work before its answer was lost.
		return errorResponse(http.StatusGatewayTimeout, "another node did not answer; the outcome is unknown")
	}
	return resp
}

// callTimeout returns how long a call may take: the deadline from the header, at most
// maxCallTimeout, or defaultCallTimeout, less responseMargin, but at least responseMargin.
func callTimeout(h http.Header) time.Duration {
	d := callDeadline(h)
	if d == 0 {
		d = defaultCallTimeout
	}
	return max(d-responseMargin, responseMargin)
}

// Answer answers a call from the state of this node. fallback forwards the call to
// another node if the store refuses a record or does not answer within acceptance.SecondWayDelay;
// it is nil for a call that another node forwarded.
func (h *Handler) Answer(ctx context.Context, r *peers.CallRequest, fallback Forwarder) *peers.CallResponse {
	h.State.Refresh(ctx)
	d, fresh := h.State.Desired()
	if d == nil {
		return unavailableResponse("no desired state has been read yet")
	}
	if !fresh {
		return h.answerElsewhere(ctx, r, d, fallback)
	}
	host, _, _ := strings.Cut(r.Host, ":")
	q, id, ok := d.Route(host, r.Path)
	if !ok {
		return h.refuse(r, d, http.StatusNotFound, "no queue has this host and path")
	}
	c := call{handler: h, request: r, fallback: fallback, desired: d, queue: q, id: id}
	team, keyHash, ok := authenticate(d, r.Authorization)
	c.caller.KeyHash = keyHash
	if !q.WithoutKey {
		if !ok {
			return h.refuse(r, d, http.StatusUnauthorized, "the Authorization header has no valid API key")
		}
		c.caller.Team = team
	}
	if q.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Timeout)
		defer cancel()
	}
	return c.dispatch(ctx)
}

// authenticate returns the team of the API key in an Authorization header, and the hash of the
// key; ok is false if there is no valid key.
func authenticate(d *cell.Desired, authorization string) (team, keyHash string, ok bool) {
	key, ok := platform.APIKey(authorization)
	if !ok {
		return "", "", false
	}
	if team, ok = d.TeamOf(key); !ok {
		return "", "", false
	}
	return team, cell.HashKey(key), true
}

// answerElsewhere forwards a call that cannot be decided here, since a newer version
// of the desired state may be in force. A disconnected node has already tried that.
// d is the applied desired state.
func (h *Handler) answerElsewhere(ctx context.Context, r *peers.CallRequest, d *cell.Desired, fallback Forwarder) *peers.CallResponse {
	if fallback != nil && !h.State.Disconnected() {
		resp, err := fallback.Forward(ctx, r)
		if err == nil {
			return resp
		}
		if r.IsWrite() && verdict.Of(err) != verdict.DidNotRun {
			return errorResponse(http.StatusGatewayTimeout, "another node did not answer; the outcome is unknown")
		}
	}
	h.Logger.Warn("A call was not decided, since the desired state may be out of date.", "method", r.Method, "path", r.Path, "version", d.Version, "age", h.State.DesiredAge())
	return unavailableResponse("the desired state may be out of date")
}

// refuse returns the refusal of a call that the desired state does not allow, and
// logs the version and the age of the state.
func (h *Handler) refuse(r *peers.CallRequest, d *cell.Desired, status int, reason string) *peers.CallResponse {
	h.Logger.Info("A call was refused.", "status", status, "method", r.Method, "path", r.Path, "reason", reason, "version", d.Version, "age", h.State.DesiredAge())
	return errorResponse(status, reason)
}

// errorResponse returns a response with an error status and without a Retry-After
// header.
func errorResponse(status int, reason string) *peers.CallResponse {
	return &peers.CallResponse{Status: status, Body: platform.EncodeError(reason)}
}

// retryAfterSeconds is the Retry-After value of responses with status 503.
const retryAfterSeconds = 1

// unavailableResponse returns a response with status 503: nothing was stored, and
// the caller may repeat the call.
func unavailableResponse(reason string) *peers.CallResponse {
	resp := errorResponse(http.StatusServiceUnavailable, reason)
	resp.RetryAfterSeconds = retryAfterSeconds
	return resp
}

func writeResponse(w http.ResponseWriter, resp *peers.CallResponse) {
	if resp.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(resp.RetryAfterSeconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // a write error means that the caller has disconnected
}
