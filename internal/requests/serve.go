package requests

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// ServeHTTP implements http.Handler. It always answers with a verdict, unless
// the head has gone out and the rest is lost: then it aborts the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.gate.enter() {
		s.refuse(w, "", draining())
		return
	}
	defer s.gate.leave()
	start := s.clock.Now()
	c := &call{method: r.Method}
	up, err := s.decode(r, c)
	if err != nil {
		s.refuse(w, c.id, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline)
	defer cancel()
	if r.ContentLength != 0 {
		// A caller that sends too slowly must not hold the handler beyond the
		// deadline. Connections without deadlines are bounded by their server.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(c.deadline))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	rest, err := s.readBody(r, c)
	defer s.buffered.Add(-c.buffer)
	if err != nil {
		s.refuse(w, c.id, err)
		return
	}
	x := &exchange{server: s, up: up, call: c, rest: rest, ctx: ctx, w: w, deadline: start + c.deadline}
	if c.idempotent {
		x.idempotent()
	} else {
		x.nonIdempotent()
	}
	s.metrics.took.RecordDuration(s.clock.Now() - start)
}

func draining() error {
	e := verdict.New(verdict.DidNotRun, CodeDraining, "this entry node is stopping")
	e.RetryAfterMillis = 100
	return e
}

// decode checks everything that can be checked before the body is read.
func (s *Server) decode(r *http.Request, c *call) (*upstream, error) {
	if n := headerSize(r.Header); n > s.options.MaxHeader {
		return nil, bad(CodeHeaderTooBig, "the headers are %d bytes, at most %d are allowed", n, s.options.MaxHeader)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, bad(CodeBadMethod, "method %s is not passed on", r.Method)
	}
	var err error
	if c.upstream, c.uri, err = decodePath(r.URL); err != nil {
		return nil, err
	}
	key, err := decodeKey(r.Header)
	if err != nil {
		return nil, err
	}
	if c.team, err = s.team(key, c.upstream); err != nil {
		return nil, err
	}
	if err = c.decodeHeader(r.Header, s.options); err != nil {
		return nil, err
	}
	if err = c.allowed(); err != nil {
		return nil, err
	}
	up := s.upstream(c.upstream)
	if up == nil {
		return nil, bad(CodeNoUpstream, "there is no upstream %q", c.upstream)
	}
	if c.id == "" {
		c.id = s.unique()
	}
	c.header = passedOn(r.Header)
	c.header.Del("Authorization")
	c.header.Set(HeaderTeam, c.team.Name)
	return up, nil
}

func (s *Server) team(key, upstream string) (Team, error) {
	team, state := s.auth.Authenticate(key, upstream)
	switch state {
	case KeyValid:
		return team, nil
	case KeyWithdrawn:
		return team, bad(CodeWithdrawn, "the key was withdrawn")
	case ConfigStale:
		e := verdict.New(verdict.DidNotRun, CodeStale, "this entry node can't prove its configuration fresh")
		e.RetryAfterMillis = 1000
		return team, e
	default:
		return team, bad(CodeBadKey, "the key is not known")
	}
}

func (c *call) allowed() error {
	for _, class := range c.team.Classes {
		if class == c.class {
			return nil
		}
	}
	if c.team.Classes == nil {
		return nil
	}
	return bad(CodeClass, "team %s may not send %s requests, only %v", c.team.Name, c.class, c.team.Classes)
}
