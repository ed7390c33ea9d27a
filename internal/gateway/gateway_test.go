package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const validJob = `{"id":"j-1","queue":"main","kind":"batch","class":"normal","tasks":2,"size":{"milli_cpu":100,"memory_mib":64},"command":"run"}`

func newServer(t *testing.T, b Backend, change func(*Config)) *Server {
	t.Helper()
	cfg := Config{OperatorToken: "op", MaxJobBytes: 4096, MaxBatchBytes: 8192, MaxPublicationBytes: 8192, MaxBatchJobs: 3, MaxWatches: 2}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg, b)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func call(s http.Handler, method, path, auth, body string) (*httptest.ResponseRecorder, Response) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if auth != "" {
		r.Header.Set("Authorization", auth)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	var a Response
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	return w, a
}

// Guards against a wrong status, and against a verdict that is missing or
// differs between header and body.
func TestAnswers(t *testing.T) {
	change := `{"id":"p","author":"a","base_revision":1,"changes":[{"kind":"team","name":"a","withdrawn":true}]}`
	long := strings.Repeat("x", 5000)
	for _, c := range []struct {
		name, method, path, auth, body string
		status                         int
		verdict                        verdict.Verdict
	}{
		{"submit", "POST", "/v1/jobs", "Bearer good", validJob, 202, verdict.DidRun},
		{"submit and wait", "POST", "/v1/jobs?wait=true", "Bearer good", validJob, 200, verdict.DidRun},
		{"bad wait", "POST", "/v1/jobs?wait=yes", "Bearer good", validJob, 400, verdict.DidNotRun},
		{"no key and no team", "POST", "/v1/jobs", "", validJob, 400, verdict.DidNotRun},
		{"unknown key", "POST", "/v1/jobs", "Bearer bad", validJob, 401, verdict.DidNotRun},
		{"wrong scheme", "POST", "/v1/jobs", "Basic good", validJob, 401, verdict.DidNotRun},
		{"too large", "POST", "/v1/jobs", "Bearer good", `{"command":"` + long + `"}`, 413, verdict.DidNotRun},
		{"unknown field", "POST", "/v1/jobs", "Bearer good", `{"id":"a","colour":1}`, 400, verdict.DidNotRun},
		{"two values", "POST", "/v1/jobs", "Bearer good", validJob + validJob, 400, verdict.DidNotRun},
		{"array", "POST", "/v1/jobs", "Bearer good", "[]", 400, verdict.DidNotRun},
		{"null", "POST", "/v1/jobs", "Bearer good", "null", 400, verdict.DidNotRun},
		{"empty", "POST", "/v1/jobs", "Bearer good", "", 400, verdict.DidNotRun},
		{"negative tasks", "POST", "/v1/jobs", "Bearer good", strings.Replace(validJob, `"tasks":2`, `"tasks":-2`, 1), 400, verdict.DidNotRun},
		{"tasks overflow", "POST", "/v1/jobs", "Bearer good", strings.Replace(validJob, `"tasks":2`, `"tasks":4294967298`, 1), 400, verdict.DidNotRun},
		{"negative size", "POST", "/v1/jobs", "Bearer good", strings.Replace(validJob, `:100`, `:-100`, 1), 400, verdict.DidNotRun},
		{"unknown kind", "POST", "/v1/jobs", "Bearer good", strings.Replace(validJob, `"batch"`, `"cron"`, 1), 400, verdict.DidNotRun},
		{"not UTF-8", "POST", "/v1/jobs", "Bearer good", "{\"id\":\"\xff\"}", 400, verdict.DidNotRun},
		{"status", "GET", "/v1/jobs/j-1", "Bearer good", "", 200, verdict.DidRun},
		{"hostile id", "GET", "/v1/jobs/%00%0a", "Bearer good", "", 400, verdict.DidNotRun},
		{"cancel", "DELETE", "/v1/jobs/j-1", "Bearer good", "", 200, verdict.DidRun},
		{"explain", "GET", "/v1/jobs/j-1/explain", "Bearer good", "", 200, verdict.DidRun},
		{"batch too long", "POST", "/v1/batches", "Bearer good", `{"jobs":[{},{},{},{}]}`, 400, verdict.DidNotRun},
		{"batch with one id twice", "POST", "/v1/batches", "Bearer good", `{"jobs":[` + validJob + `,` + validJob + `]}`, 400, verdict.DidNotRun},
		{"publish", "POST", "/v1/publications", "Bearer op", change, 200, verdict.DidRun},
		{"publish with a key", "POST", "/v1/publications", "Bearer good", change, 401, verdict.DidNotRun},
		{"publish without a token", "POST", "/v1/publications", "", change, 401, verdict.DidNotRun},
		{"publish nothing", "POST", "/v1/publications", "Bearer op", `{"id":"p","changes":[]}`, 400, verdict.DidNotRun},
		{"objects", "GET", "/v1/objects", "Bearer op", "", 200, verdict.DidRun},
		{"objects of no kind", "GET", "/v1/objects/cat", "Bearer op", "", 404, verdict.DidNotRun},
		{"no such object", "GET", "/v1/objects/team/missing", "Bearer op", "", 404, verdict.DidNotRun},
		{"diff", "GET", "/v1/diff?from=1&to=2", "Bearer op", "", 200, verdict.DidRun},
		{"diff without to", "GET", "/v1/diff?from=1", "Bearer op", "", 400, verdict.DidNotRun},
		{"revision", "GET", "/v1/revisions/7", "Bearer op", "", 200, verdict.DidRun},
		{"dump", "GET", "/v1/dump", "Bearer op", "", 200, verdict.DidRun},
		{"dump without a token", "GET", "/v1/dump", "", "", 401, verdict.DidNotRun},
		{"drain", "POST", "/v1/drain", "Bearer op", "", 202, verdict.DidRun},
		{"health", "GET", "/healthz", "", "", 200, verdict.DidRun},
		{"ready", "GET", "/readyz", "", "", 200, verdict.DidRun},
		{"no path", "GET", "/v2/jobs", "", "", 404, verdict.DidNotRun},
		{"wrong method", "PUT", "/v1/jobs", "Bearer good", validJob, 405, verdict.DidNotRun},
	} {
		w, a := call(newServer(t, &fakeBackend{}, nil), c.method, c.path, c.auth, c.body)
		if w.Code != c.status || a.Verdict != c.verdict || w.Header().Get(verdict.Header) != c.verdict.String() {
			t.Errorf("%s: status %d, header %q, body %s", c.name, w.Code, w.Header().Get(verdict.Header), w.Body)
		}
		if (w.Code >= 400) != (a.Error != nil) || (a.Error != nil && (a.Error.Code == "" || a.Error.Message == "" || a.Error.Verdict != a.Verdict)) {
			t.Errorf("%s: error is %+v", c.name, a.Error)
		}
	}
}

// Guards against an error of the Backend that loses its verdict, its code or its
// retry delay, and against exposing the text of an internal error to callers.
func TestBackendErrors(t *testing.T) {
	limit := verdict.New(verdict.DidNotRun, CodeTeamLimit, "full")
	limit.RetryAfterMillis = 1500
	for _, c := range []struct {
		err     error
		status  int
		verdict verdict.Verdict
		code    string
	}{
		{limit, 429, verdict.DidNotRun, CodeTeamLimit},
		{eris.Wrap(limit, "outer"), 429, verdict.DidNotRun, CodeTeamLimit},
		{verdict.New(verdict.DidNotRun, "odd", "x"), 503, verdict.DidNotRun, "odd"},
		{verdict.New(verdict.MayHaveRun, "odd", "x"), 500, verdict.MayHaveRun, "odd"},
		{verdict.New(verdict.MayHaveRun, CodeDeadline, "x"), 504, verdict.MayHaveRun, CodeDeadline},
		{errors.New("inner text"), 500, verdict.MayHaveRun, CodeInternal},
		{context.DeadlineExceeded, 504, verdict.MayHaveRun, CodeDeadline},
	} {
		w, a := call(newServer(t, &fakeBackend{err: c.err}, nil), "POST", "/v1/jobs", "Bearer good", validJob)
		if w.Code != c.status || a.Verdict != c.verdict || w.Header().Get(verdict.Header) != c.verdict.String() || a.Error == nil || a.Error.Code != c.code {
			t.Errorf("%v: status %d, body %s", c.err, w.Code, w.Body)
		}
		if c.code == CodeTeamLimit && w.Header().Get("Retry-After") != "2" {
			t.Errorf("Retry-After is %q", w.Header().Get("Retry-After"))
		}
		if strings.Contains(w.Body.String(), "inner text") {
			t.Errorf("body shows %s", w.Body)
		}
	}
	faults := objects.Faults{{Object: "team/a", Field: "limit", Value: "b", Accepted: "c"}}
	_, a := call(newServer(t, &fakeBackend{err: verdict.Wrap(faults, verdict.DidNotRun, CodeInvalidObjects)}, nil), "GET", "/v1/objects", "Bearer op", "")
	if a.Error == nil || len(a.Error.Faults) != 1 {
		t.Errorf("faults became %+v", a.Error)
	}
	w, a := call(newServer(t, &fakeBackend{err: verdict.Wrap(&Conflict{Revision: 9}, verdict.DidNotRun, CodeConflict)}, nil), "GET", "/v1/objects", "Bearer op", "")
	if w.Code != 409 || a.Error == nil || a.Error.Conflict == nil || a.Error.Conflict.Revision != 9 {
		t.Errorf("conflict became %+v", a.Error)
	}
}

// Guards against a panic in a handler that closes the connection without a
// response, or whose response claims to know whether the operation ran.
func TestPanicSaysMayHaveRun(t *testing.T) {
	panics := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") })
	s := newServer(t, &fakeBackend{panics: true}, func(c *Config) { c.Upstreams = panics })
	for _, path := range []string{"/v1/jobs", "/v1/upstreams/render/x"} {
		w, _ := call(s, "POST", path, "Bearer good", validJob)
		if w.Code != 500 || w.Header().Get(verdict.Header) != "may-have-run" {
			t.Errorf("%s: status %d, verdict %q", path, w.Code, w.Header().Get(verdict.Header))
		}
	}
}

// Guards against a batch response whose status and verdict hide a rejected job.
func TestBatchVerdict(t *testing.T) {
	ok := BatchResult{ID: "a", Verdict: verdict.DidRun}
	no := FailedBatchResult("b", verdict.New(verdict.DidNotRun, CodeTeamLimit, "full"))
	for _, c := range []struct {
		results []BatchResult
		status  int
		want    verdict.Verdict
	}{
		{[]BatchResult{ok, ok}, 202, verdict.DidRun},
		{[]BatchResult{no, no}, 207, verdict.DidNotRun},
		{[]BatchResult{ok, no}, 207, verdict.MayHaveRun},
	} {
		s := newServer(t, &fakeBackend{results: c.results}, nil)
		if w, a := call(s, "POST", "/v1/batches", "Bearer good", `{"jobs":[`+validJob+`]}`); w.Code != c.status || a.Verdict != c.want {
			t.Errorf("%v: status %d, body %s", c.results, w.Code, w.Body)
		}
	}
}

// Guards against a caller that gains more rights than its key gives, for example
// by naming another team in the job (I3).
func TestCallerIdentity(t *testing.T) {
	for auth, want := range map[string]Caller{"Bearer good": {Team: "atelier"}, "Bearer op": {Operator: true}, "": {}} {
		f := &fakeBackend{}
		call(newServer(t, f, nil), "POST", "/v1/jobs", auth, strings.Replace(validJob, `"id"`, `"team":"other","id"`, 1))
		if f.caller != want || f.job.Team != "other" {
			t.Errorf("%q is %+v for team %q", auth, f.caller, f.job.Team)
		}
	}
	if _, err := New(Config{MaxJobBytes: 1, MaxBatchBytes: 1, MaxPublicationBytes: 1, MaxBatchJobs: 1, MaxWatches: 1}, &fakeBackend{}); err == nil {
		t.Error("New accepted a configuration without an operator token")
	}
}

// Guards against a watch that cannot be resumed at a position, against an
// unbounded number of watches, and against an open watch that blocks a planned
// shutdown (I9).
func TestWatch(t *testing.T) {
	f := &fakeBackend{holdWatch: true}
	for i := range 3 {
		f.events = append(f.events, JobEvent{Position: uint64(i), State: "running"})
	}
	s := newServer(t, f, func(c *Config) { c.MaxWatches = 1; c.HeartbeatInterval = time.Millisecond })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	url := fmt.Sprintf("http://%s/v1/jobs/j-1/watch?position=1", l.Addr())
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func() (line WatchLine) {
		if !lines.Scan() {
			t.Fatalf("stream ended: %v", lines.Err())
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		return line
	}
	for seen, beats := uint64(1), 0; seen < 3 || beats == 0; {
		line := next()
		if line.Heartbeat {
			beats++
		} else if line.Event == nil || line.Event.Position != seen {
			t.Fatalf("want position %d, got %+v", seen, line)
		} else {
			seen++
		}
	}
	if w, a := call(s, "GET", "/v1/jobs/j-1/watch", "", ""); w.Code != 503 || a.Verdict != verdict.DidNotRun {
		t.Errorf("second watch gives %d", w.Code)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	for line := next(); line.Error == nil; line = next() {
	}
	if err := errors.Join(<-stopped, <-served); err != nil {
		t.Error(err)
	}
}

// Guards against a caller that occupies a connection by never finishing its
// body, and against a body timeout that aborts a waiting submission.
func TestBodyTimeout(t *testing.T) {
	// Even on a busy machine, a complete body arrives over loopback well within
	// this time.
	const limit = time.Second
	s := httptest.NewServer(newServer(t, &fakeBackend{wait: time.After(3 * limit)}, func(c *Config) { c.BodyTimeout = limit }))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 400 || resp.Header.Get(verdict.Header) != "did-not-run" {
		t.Fatalf("answer is %+v, %v", resp, err)
	}
	resp.Body.Close()
	req, _ := http.NewRequest("POST", s.URL+"/v1/jobs?wait=true", strings.NewReader(validJob))
	req.Header.Set("Authorization", "Bearer good")
	resp, err = http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("answer is %+v, %v", resp, err)
	}
	resp.Body.Close()
}

// Guards against decoders that panic or accept values that their checks forbid.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(`{"jobs":[` + validJob + `]}`))
	f.Add([]byte(`{"id":"p","base_revision":1,"changes":[{"kind":"team","name":"a","spec":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if job, p := decodeJob(data, Caller{Team: "a"}); p == nil {
			if job.Tasks < 1 || job.Size.IsZero() || job.Size.IsNegative() || job.Lease <= 0 || !idPattern.MatchString(job.ID) {
				t.Fatalf("accepted %+v", job)
			}
		} else if p.Verdict != verdict.DidNotRun || HTTPStatusOf(p.Code, p.Verdict) != 400 {
			t.Fatalf("refused with %+v", p)
		}
		if jobs, p := decodeBatch(data, Caller{Team: "a"}, 2); p == nil && (len(jobs) == 0 || len(jobs) > 2) {
			t.Fatalf("accepted %d jobs", len(jobs))
		}
		if pub, p := decodePublication(data); p == nil && (pub.ID == "" || len(pub.Changes) == 0) {
			t.Fatalf("accepted %+v", pub)
		}
	})
}
