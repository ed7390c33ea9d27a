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

	"github.com/medlarpulley/medlarpulley/internal/cell"
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
	// retryAfter is when a caller may come back after the store was unavailable.
	retryAfter = time.Second
)

// State is what a node knows.
type State interface {
	// Desired returns the objects in force, and whether they are known to be fresh.
	Desired() (d *cell.Desired, fresh bool)
	// Refresh reads the desired state again if it has not been read lately.
	Refresh(ctx context.Context)
	// Find returns what is stored about a submission.
	Find(id string) (registry.Entry, bool)
	// Pending returns how many accepted submissions of a queue have not begun.
	Pending(queue string) int
	// CatchUp returns once everything stored before the call is known.
	CatchUp(ctx context.Context) error
	// Current reports whether the state of submissions is up to date.
	Current() bool
}

// Log stores records.
type Log interface {
	Append(ctx context.Context, r platform.Record) error
}

// Front serves callers.
type Front struct {
	State    State
	Records  Log
	Logger   *slog.Logger
	Wall     func() time.Duration
	draining atomic.Bool
}

// Drain makes every answer close its connection.
func (f *Front) Drain() { f.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.State.Refresh(r.Context())
	d, fresh := f.State.Desired()
	if d == nil {
		unavailable(w, "no desired state is known yet")
		return
	}
	q, id, ok := d.Route(hostOf(r.Host), r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "no queue has this host and path")
		return
	}
	c := call{front: f, w: w, r: r, queue: q, id: id}
	if !q.Open {
		if !fresh {
			unavailable(w, "keys cannot be checked, since the desired state may be old")
			return
		}
		if c.team, ok = team(d, r); !ok {
			refuse(w, http.StatusUnauthorized, "the key is unknown")
			return
		}
	}
	if id == "" && r.Method == http.MethodGet {
		c.pending()
		return
	}
	if !platform.IsID(id) {
		refuse(w, http.StatusBadRequest, "the path must end with 16 hexadecimal digits")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience(r, q))
	defer cancel()
	switch r.Method {
	case http.MethodPost:
		c.submit(ctx, d.Limits.BodyBytes)
	case http.MethodGet:
		c.state(ctx)
	case http.MethodDelete:
		c.cancel(ctx)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		refuse(w, http.StatusMethodNotAllowed, "the method must be GET, POST or DELETE")
	}
}

func hostOf(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

func team(d *cell.Desired, r *http.Request) (string, bool) {
	key, ok := platform.Key(r.Header.Get("Authorization"))
	if !ok {
		return "", false
	}
	return d.TeamOf(key)
}

// patience returns how long a call may take.
func patience(r *http.Request, q cell.Queue) time.Duration {
	d := defaultPatience
	if q.Timeout > 0 {
		d = q.Timeout
	}
	if ms, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return max(d-answerMargin, answerMargin)
}

// call is one call of a client.
type call struct {
	front *Front
	w     http.ResponseWriter
	r     *http.Request
	queue cell.Queue
	team  string
	id    string
}

func (c *call) pending() {
	if !c.front.State.Current() {
		unavailable(c.w, "the state of the queue may be old")
		return
	}
	answer(c.w, http.StatusOK, platform.EncodePending(c.front.State.Pending(c.queue.Name)))
}

func (c *call) submit(ctx context.Context, most int) {
	if most <= 0 {
		most = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(most)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		refuse(c.w, http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.Itoa(most)+" bytes")
		return
	case err != nil:
		refuse(c.w, http.StatusBadRequest, "the body cannot be read")
		return
	}
	s, err := platform.DecodeSubmission(body)
	if err != nil {
		refuse(c.w, http.StatusBadRequest, err.Error())
		return
	}
	if e, ok := c.front.State.Find(c.id); ok {
		if e.Submission.Team != c.team {
			refuse(c.w, http.StatusConflict, "another team has a submission with this id")
			return
		}
		answer(c.w, http.StatusOK, nil)
		return
	}
	s.ID, s.Team, s.Queue, s.Received = c.id, c.team, c.queue, c.front.Wall()
	err = c.front.Records.Append(ctx, registry.SubmissionRecord(&s))
	c.stored(err, "A submission is accepted.", "A submission is not accepted.")
}

// stored answers after an attempt to store a record.
func (c *call) stored(err error, done, failed string) {
	log := c.front.Logger.With("id", c.id, "queue", c.queue.Name, "team", c.team)
	if err == nil {
		log.Info(done)
		answer(c.w, http.StatusOK, nil)
		return
	}
	v := verdict.Of(err)
	log.Warn(failed, "verdict", v.String(), "error", err)
	if v == verdict.DidNotRun {
		unavailable(c.w, "the platform's store is unavailable")
		return
	}
	refuse(c.w, http.StatusGatewayTimeout, "the platform's store has not answered; the outcome is open")
}

// find looks for a submission of the caller's team. It answers the call itself
// if there is none.
func (c *call) find(ctx context.Context) (registry.Entry, bool) {
	e, ok := c.front.State.Find(c.id)
	if !ok {
		if err := c.front.State.CatchUp(ctx); err != nil {
			unavailable(c.w, "the state of submissions may be old")
			return e, false
		}
		e, ok = c.front.State.Find(c.id)
	}
	if !ok {
		refuse(c.w, http.StatusGone, "no such submission")
		return e, false
	}
	if e.Submission.Team != c.team || e.Submission.Queue.Name != c.queue.Name {
		refuse(c.w, http.StatusGone, "no such submission of this team in this queue")
		return e, false
	}
	return e, true
}

func (c *call) state(ctx context.Context) {
	if e, ok := c.find(ctx); ok {
		answer(c.w, http.StatusOK, platform.EncodeState(e.State()))
	}
}

func (c *call) cancel(ctx context.Context) {
	e, ok := c.find(ctx)
	if !ok {
		return
	}
	if e.State().Final() {
		answer(c.w, http.StatusOK, platform.EncodeState(e.State()))
		return
	}
	err := c.front.Records.Append(ctx, registry.CancelRecord(c.id))
	c.stored(err, "A submission is cancelled.", "A cancellation is not stored.")
}

func answer(w http.ResponseWriter, status int, body []byte) {
	if body == nil {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has left needs no answer
}

func refuse(w http.ResponseWriter, status int, reason string) {
	answer(w, status, platform.EncodeError(reason))
}

func unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	refuse(w, http.StatusServiceUnavailable, reason)
}
