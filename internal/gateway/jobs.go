package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// jobID returns the job id of a path.
func jobID(r *http.Request) (string, *Problem) {
	id := pathvar.Vars(r)["id"]
	if !idPattern.MatchString(id) {
		return "", badField("id", id, idRule)
	}
	return id, nil
}

// flag returns a query parameter that is true or false.
func flag(r *http.Request, name string) (bool, *Problem) {
	switch v := r.URL.Query().Get(name); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, badField(name, v, "true or false")
	}
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, c Caller) {
	wait, p := flag(r, "wait")
	var body rawBody
	if p == nil {
		p = body.read(w, r, s.cfg.MaxJobBytes, s.cfg.BodyTimeout)
	}
	var job JobSpec
	if p == nil {
		job, p = decodeJob(body, c)
	}
	if p == nil && wait {
		var done func()
		if done, p = s.enter(); p == nil {
			defer done()
		}
	}
	if p != nil {
		s.fail(w, p)
		return
	}
	status, err := s.backend.Submit(r.Context(), c, job, wait)
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	code := http.StatusAccepted
	if status.State == StateEnded {
		code = http.StatusOK
	}
	s.succeed(w, code, status)
}

// submitBatch answers 202 if every job was accepted, else 207 with one result
// for each job. The verdict of the whole is may-have-run if some were accepted.
func (s *Server) submitBatch(w http.ResponseWriter, r *http.Request, c Caller) {
	var body rawBody
	p := body.read(w, r, s.cfg.MaxBatchBytes, s.cfg.BodyTimeout)
	var jobs []JobSpec
	if p == nil {
		jobs, p = decodeBatch(body, c, s.cfg.MaxBatchJobs)
	}
	if p != nil {
		s.fail(w, p)
		return
	}
	results, err := s.backend.SubmitBatch(r.Context(), c, jobs)
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.writeBatch(w, results)
}

func (s *Server) writeBatch(w http.ResponseWriter, results []BatchResult) {
	whole, status := verdict.DidRun, http.StatusAccepted
	for i, res := range results {
		if i == 0 {
			whole = res.Verdict
		} else if res.Verdict != whole {
			whole = verdict.MayHaveRun
		}
		if res.Error != nil {
			status = http.StatusMultiStatus
		}
	}
	s.writeResult(w, status, whole, struct {
		Results []BatchResult `json:"results"`
	}{results})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, c Caller) {
	s.aboutJob(w, r, func(id string) (any, error) { return s.backend.Status(r.Context(), c, id) })
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, c Caller) {
	s.aboutJob(w, r, func(id string) (any, error) { return s.backend.Explain(r.Context(), c, id) })
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, c Caller) {
	s.aboutJob(w, r, func(id string) (any, error) { return s.backend.Cancel(r.Context(), c, id) })
}

func (s *Server) aboutJob(w http.ResponseWriter, r *http.Request, ask func(id string) (any, error)) {
	id, p := jobID(r)
	if p != nil {
		s.fail(w, p)
		return
	}
	result, err := ask(id)
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.succeed(w, http.StatusOK, result)
}

// enter takes a place among the open watches and waiting submissions.
func (s *Server) enter() (leave func(), p *Problem) {
	select {
	case s.watches <- struct{}{}:
		return func() { <-s.watches }, nil
	default:
		p := refusal(CodeOverloaded, "too many open watches and waiting submissions")
		p.RetryAfterMillis = 1000
		return nil, p
	}
}

// rawBody is a bounded body that is decoded later.
type rawBody []byte

// read takes a whole body in a bounded time, so that a caller that sends
// slowly does not hold a connection for ever.
func (b *rawBody) read(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) *Problem {
	control := http.NewResponseController(w)
	// A writer without deadlines, as in tests, is used without one.
	_ = control.SetReadDeadline(time.Now().Add(within))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// While the request is served the server reads on to notice a caller
		// that goes away; the deadline must not end that. After an error it
		// stays, since the server reads the rest of the body before it answers.
		_ = control.SetReadDeadline(time.Time{})
	}
	*b = data
	return bodyProblem(err, limit)
}
