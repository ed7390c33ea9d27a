package requests

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// ServeHTTP implements http.Handler. Every response carries a verdict. If the
// rest of a response is lost after its headers were sent, ServeHTTP aborts the
// connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.inFlight.tryAdd() {
		s.writeError(w, "", drainingError())
		return
	}
	defer s.inFlight.done()
	start := s.clock.Now()
	c := &call{method: r.Method}
	up, err := s.decode(r, c)
	if err != nil {
		s.writeError(w, c.id, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline)
	defer cancel()
	if r.ContentLength != 0 {
		// A caller that sends too slowly must not keep the handler busy beyond the
		// deadline. Where the connection does not support deadlines, the limits of
		// its HTTP server apply.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(c.deadline))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	remainder, err := s.readBody(r, c)
	defer s.bufferedBytes.Add(-c.bufferedBytes)
	if err != nil {
		s.writeError(w, c.id, err)
		return
	}
	x := &servedRequest{server: s, up: up, call: c, remainder: remainder, ctx: ctx, w: w, deadline: start + c.deadline}
	if c.idempotent {
		x.serveIdempotent()
	} else {
		x.serveNonIdempotent()
	}
	s.metrics.duration.RecordDuration(s.clock.Now() - start)
}

func drainingError() error {
	e := verdict.New(verdict.DidNotRun, CodeDraining, "this entry node is draining")
	e.RetryAfterMillis = 100
	return e
}

// decode authenticates a request and validates all of it but the body.
func (s *Server) decode(r *http.Request, c *call) (*upstream, error) {
	if n := headerBytes(r.Header); n > s.options.MaxHeaderBytes {
		return nil, rejection(CodeHeaderTooBig, "the headers are %d bytes, at most %d are allowed", n, s.options.MaxHeaderBytes)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, rejection(CodeBadMethod, "method %s is not forwarded", r.Method)
	}
	var err error
	if c.upstream, c.uri, err = decodePath(r.URL); err != nil {
		return nil, err
	}
	key, err := decodeKey(r.Header)
	if err != nil {
		return nil, err
	}
	if c.team, err = s.authenticate(key, c.upstream); err != nil {
		return nil, err
	}
	if err = c.decodeHeader(r.Header, s.options); err != nil {
		return nil, err
	}
	if err = c.checkClass(); err != nil {
		return nil, err
	}
	up := s.upstream(c.upstream)
	if up == nil {
		return nil, rejection(CodeUnknownUpstream, "there is no upstream %q", c.upstream)
	}
	if c.id == "" {
		c.id = s.uniqueName()
	}
	c.header = forwardedHeader(r.Header)
	c.header.Del("Authorization")
	c.header.Set(HeaderTeam, c.team.Name)
	return up, nil
}

func (s *Server) authenticate(key, upstream string) (Team, error) {
	team, state := s.auth.Authenticate(key, upstream)
	switch state {
	case KeyValid:
		return team, nil
	case KeyWithdrawn:
		return team, rejection(CodeKeyWithdrawn, "the key was withdrawn")
	case ConfigStale:
		e := verdict.New(verdict.DidNotRun, CodeConfigStale, "this entry node can't verify that its configuration is up to date")
		e.RetryAfterMillis = 1000
		return team, e
	default:
		return team, rejection(CodeUnknownKey, "the key is unknown or withdrawn")
	}
}

func (c *call) checkClass() error {
	for _, class := range c.team.Classes {
		if class == c.class {
			return nil
		}
	}
	if c.team.Classes == nil {
		return nil
	}
	return rejection(CodeClassNotAllowed, "team %s may not send %s requests, only %v", c.team.Name, c.class, c.team.Classes)
}
