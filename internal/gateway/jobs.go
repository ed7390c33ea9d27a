package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// jobID returns the validated job id from the request path.
func jobID(r *http.Request) (string, *Problem) {
	id := pathvar.Vars(r)["id"]
	if !idPattern.MatchString(id) {
		return "", invalidField("id", id, idRule)
	}
	return id, nil
}

// boolParam parses a boolean query parameter; it is false if absent.
func boolParam(r *http.Request, name string) (bool, *Problem) {
	switch v := r.URL.Query().Get(name); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, invalidField(name, v, "true or false")
	}
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, c Caller) {
	wait, p := boolParam(r, "wait")
	var body rawBody
	if p == nil {
		p = body.read(w, r, s.cfg.MaxJobBytes, s.cfg.BodyTimeout)
	}
	var job JobSpec
	if p == nil {
		job, p = decodeJob(body, c)
	}
	if p == nil && wait {
		var release func()
		if release, p = s.acquireStream(); p == nil {
			defer release()
		}
	}
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	status, err := s.backend.Submit(r.Context(), c, job, wait)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	code := http.StatusAccepted
	if status.State == StateEnded {
		code = http.StatusOK
	}
	s.writeSuccess(w, code, status)
}

// submitBatch responds with 202 if every job was accepted, else with 207; the
// body has one result per job. The verdict of the response is may-have-run if
// the verdicts of the jobs differ.
func (s *Server) submitBatch(w http.ResponseWriter, r *http.Request, c Caller) {
	var body rawBody
	p := body.read(w, r, s.cfg.MaxBatchBytes, s.cfg.BodyTimeout)
	var jobs []JobSpec
	if p == nil {
		jobs, p = decodeBatch(body, c, s.cfg.MaxBatchJobs)
	}
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	results, err := s.backend.SubmitBatch(r.Context(), c, jobs)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeBatch(w, results)
}

func (s *Server) writeBatch(w http.ResponseWriter, results []BatchResult) {
	overall, status := verdict.DidRun, http.StatusAccepted
	for i, res := range results {
		if i == 0 {
			overall = res.Verdict
		} else if res.Verdict != overall {
			overall = verdict.MayHaveRun
		}
		if res.Error != nil {
			status = http.StatusMultiStatus
		}
	}
	s.writeResult(w, status, overall, struct {
		Results []BatchResult `json:"results"`
	}{results})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, c Caller) {
	s.serveJob(w, r, func(id string) (any, error) { return s.backend.Status(r.Context(), c, id) })
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, c Caller) {
	s.serveJob(w, r, func(id string) (any, error) { return s.backend.Explain(r.Context(), c, id) })
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, c Caller) {
	s.serveJob(w, r, func(id string) (any, error) { return s.backend.Cancel(r.Context(), c, id) })
}

func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, call func(id string) (any, error)) {
	id, p := jobID(r)
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	result, err := call(id)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusOK, result)
}

// acquireStream reserves one of the Config.MaxWatches slots for an open watch or
// a waiting submission.
func (s *Server) acquireStream() (release func(), p *Problem) {
	select {
	case s.streamSlots <- struct{}{}:
		return func() { <-s.streamSlots }, nil
	default:
		p := refusal(CodeOverloaded, "too many open watches and waiting submissions")
		p.RetryAfterMillis = 1000
		return nil, p
	}
}

// rawBody is a request body of bounded size that is not decoded yet.
type rawBody []byte

// read reads a whole body within a timeout, so that a caller that sends slowly
// does not occupy a connection without a time limit.
func (b *rawBody) read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) *Problem {
	control := http.NewResponseController(w)
	// A ResponseWriter that does not support deadlines, as in tests, has none.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// While the request is served, net/http keeps reading from the connection
		// to detect that the caller disconnects; the deadline must not abort
		// that. After an error the deadline stays, since the server reads the
		// rest of the body before it responds.
		_ = control.SetReadDeadline(time.Time{})
	}
	*b = data
	return bodyProblem(err, limit)
}
