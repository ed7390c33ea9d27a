package requests

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/zeromicro/go-zero/rest/handler"
)

// brokenBody fails after some bytes.
type brokenBody struct{ left int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.New("caller broke off")
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

func streamed(body io.Reader, size int64) *http.Request {
	r := post("s", "")
	r.Body, r.ContentLength = io.NopCloser(body), size
	return r
}

func requestsOf(n int, headers ...string) []*http.Request {
	var out []*http.Request
	for range n {
		out = append(out, request(http.MethodGet, "/v1/upstreams/u/x", "", headers...))
	}
	return out
}

func faulty(f standin.Fault) func(*fleet) *httptest.ResponseRecorder {
	return func(fl *fleet) *httptest.ResponseRecorder {
		fl.runners[0].SetFault(f)
		return fl.nodes[0].do(post("id", "body"))
	}
}

func sending(r func() *http.Request) func(*fleet) *httptest.ResponseRecorder {
	return func(f *fleet) *httptest.ResponseRecorder { return f.nodes[0].do(r()) }
}

func with(method, path string, headers ...string) func(*fleet) *httptest.ResponseRecorder {
	return sending(func() *http.Request { return request(method, path, "", headers...) })
}

// ends causes every end by its name in docs/verdicts.md.
var ends = map[string]func(f *fleet) *httptest.ResponseRecorder{
	"whole answer of the runner":                                        with("GET", "/v1/upstreams/u/x"),
	"whole answer in which the runner itself says that it may have run": faulty(standin.Fault{Verdict: "may-have-run"}),
	"recorded answer to a repeated id (`Medlar-Repeat: true`)": func(f *fleet) *httptest.ResponseRecorder {
		f.nodes[0].do(post("id", "body"))
		return f.nodes[1].do(post("id", "body"))
	},
	"path, upstream name or query not valid":          with("GET", "/v1/upstreams/U%2f/x"),
	"CONNECT or TRACE":                                with("TRACE", "/v1/upstreams/u/x"),
	"a Medlar header not valid, empty or given twice": with("GET", "/v1/upstreams/u/x", HeaderDeadline, "soon"),
	"headers larger than allowed":                     with("GET", "/v1/upstreams/u/x", "X-Large", strings.Repeat("x", 40<<10)),
	"non-idempotent without `Medlar-Request-Id`":      with("POST", "/v1/upstreams/u/x"),
	"no key, or not `Bearer KEY`":                     with("GET", "/v1/upstreams/u/x", "Authorization", "Basic a"),
	"key not in the configuration":                    with("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/none"),
	"key withdrawn":                                   with("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/old"),
	"configuration not proved fresh":                  with("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/stale"),
	"class not open to the team":                      with("GET", "/v1/upstreams/u/x", "Authorization", "Bearer calm", HeaderClass, "urgent"),
	"no such upstream":                                with("GET", "/v1/upstreams/other/x"),
	"declared body larger than allowed":               sending(func() *http.Request { return post("id", strings.Repeat("x", 2<<20)) }),
	"streamed body grew larger than allowed":          sending(func() *http.Request { return streamed(strings.NewReader(strings.Repeat("x", 2<<20)), -1) }),
	"body broke off before the request was sent":      sending(func() *http.Request { return streamed(&brokenBody{10}, 100) }),
	"body broke off while it was streamed":            sending(func() *http.Request { return streamed(&brokenBody{200 << 10}, -1) }),
	"connection lost without a whole answer":          faulty(standin.Fault{CloseAfter: true}),
	"answer truncated before its head went out":       faulty(standin.Fault{Truncate: true}),
	"answer without length and chunks":                faulty(standin.Fault{Unframed: true}),
	"deadline passed while connecting":                with("GET", "/v1/upstreams/blackhole/x", HeaderDeadline, "50"),
	"connecting to the runner failed":                 with("GET", "/v1/upstreams/dead/x"),
	"buffers of the entry node full": func(f *fleet) *httptest.ResponseRecorder {
		s := f.nodes[0].server
		s.buffered.Add(s.options.BufferTotal)
		defer s.buffered.Add(-s.options.BufferTotal)
		return f.nodes[0].do(post("id", "body"))
	},
	"the runner client can't form the request": func(f *fleet) *httptest.ResponseRecorder {
		r := post("id", "body")
		r.Method = "NOT VALID"
		return f.nodes[0].do(r)
	},
	"entry node stopping": func(f *fleet) *httptest.ResponseRecorder {
		f.nodes[0].server.Drain(f.t.Context())
		return f.nodes[0].do(post("id", "body"))
	},
	"queue of the team full": func(f *fleet) *httptest.ResponseRecorder {
		f.full(3)
		return f.nodes[0].do(requestsOf(1)[0])
	},
	"more teams than the node keeps queues for": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		f.nodes[0].start(requestsOf(1)[0], requestsOf(1, "Authorization", "Bearer b")[0])
		f.arrived(2)
		return f.nodes[0].do(requestsOf(1, "Authorization", "Bearer c")[0])
	},
	"would end after its deadline": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		done := make(chan struct{})
		go func() { defer close(done); f.nodes[0].do(requestsOf(1)[0]) }()
		f.arrived(1)
		f.clock.offset.Add(int64(10 * time.Second))
		f.runners[0].Release()
		<-done
		return f.nodes[0].do(requestsOf(1, HeaderDeadline, "2s")[0])
	},
	"no slot before the deadline": func(f *fleet) *httptest.ResponseRecorder {
		f.full(0)
		return f.nodes[0].do(requestsOf(1, HeaderDeadline, "50ms")[0])
	},
	"runner refused (no free slot)": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		for range standin.Slots {
			go func() {
				if resp, err := http.Get("http://" + f.runners[0].Address()); err == nil {
					resp.Body.Close()
				}
			}()
		}
		f.arrived(standin.Slots)
		return f.nodes[0].do(post("id", "body"))
	},
	"no majority of entry nodes for the id": func(f *fleet) *httptest.ResponseRecorder {
		f.setCut("n0", "n1", true)
		f.setCut("n2", "n0", true)
		return f.nodes[0].do(post("id", "body"))
	},
	"entry nodes disagree about the members": func(f *fleet) *httptest.ResponseRecorder {
		f.nodes[0].setOffset(2)
		return f.nodes[0].do(post("id", "body"))
	},
	"node paused between reservation and dispatch": func(f *fleet) *httptest.ResponseRecorder {
		pause := func() { f.clock.offset.Add(int64(2 * reservationUse)) }
		f.onReserve.Store(&pause)
		return f.nodes[0].do(post("id", "body"))
	},
	"id held by another attempt": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		f.nodes[0].start(post("id", "body"))
		f.arrived(1)
		return f.nodes[1].do(post("id", "body"))
	},
	"id ended before, answer too large to keep": func(f *fleet) *httptest.ResponseRecorder {
		f.nodes[0].do(post("id", strings.Repeat("x", 32<<10)))
		return f.nodes[0].do(post("id", "body"))
	},
	"connection silent while new ones answer": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- f.nodes[0].do(post("id", "body")) }()
		f.arrived(1)
		f.runners[0].SilenceConnections()
		f.runners[0].Release()
		return <-done
	},
	"deadline passed after dispatch": func(f *fleet) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		return f.nodes[0].do(post("id", "body", HeaderDeadline, "50ms"))
	},
	"answer truncated after its head went out": func(f *fleet) *httptest.ResponseRecorder {
		// go-zero's recovery would turn a panic alone into a whole answer.
		front := httptest.NewServer(handler.RecoverHandler(f.nodes[0].server))
		defer front.Close()
		for _, chunked := range []bool{false, true} {
			f.runners[0].SetFault(standin.Fault{Truncate: true, Chunked: chunked})
			r := post(fmt.Sprint(chunked), strings.Repeat("x", 600<<10))
			r.URL.Scheme, r.URL.Host, r.RequestURI = "http", front.Listener.Addr().String(), ""
			resp, err := front.Client().Do(r)
			if err == nil {
				body, readErr := io.ReadAll(resp.Body)
				resp.Body.Close()
				if readErr == nil {
					f.t.Errorf("chunked %v: %d bytes of a truncated answer were passed on as whole", chunked, len(body))
				}
			}
		}
		return nil
	},
}

// full takes all slots and fills the queue with some requests.
func (f *fleet) full(queued int) {
	f.runners[0].Hold()
	for range standin.Slots {
		f.nodes[0].start(requestsOf(1)...)
		f.arrived(1)
	}
	f.nodes[0].start(requestsOf(queued)...)
	f.await("queue", func() bool { return f.waiting() == queued })
}

func (f *fleet) waiting() int {
	n := 0
	for _, u := range f.nodes[0].server.Dump().Upstreams {
		n += u.Waiting
	}
	return n
}

// Guards against an end that is not written down, or not as written down.
func TestEveryEnd(t *testing.T) {
	page, err := os.ReadFile("../../docs/verdicts.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, " | ")
		if len(cells) != 5 || strings.HasPrefix(line, "| end") {
			continue
		}
		name := strings.TrimPrefix(cells[0], "| ")
		seen[name] = true
		t.Run(name, func(t *testing.T) { checkEnd(t, name, strings.Trim(cells[1], "`"), cells[2], cells[3]) })
	}
	for name := range ends {
		if !seen[name] {
			t.Errorf("%q is not in docs/verdicts.md", name)
		}
	}
}

func checkEnd(t *testing.T, name, code, status, want string) {
	cause := ends[name]
	if cause == nil {
		t.Fatal("nothing causes this end")
	}
	o, ro := testOptions()
	o.Router.QueuePerTeam, o.Router.MaxTeams = 3, 2
	nodes := 3
	if strings.Contains(name, "slot before") || strings.Contains(name, "queue of") {
		nodes = 1
	}
	f := newFleet(t, nodes, 1, o, ro,
		hostlist.Host{ID: "b", Role: hostlist.RoleRunner, Address: "blackhole", Slots: 8, Upstream: "blackhole"},
		hostlist.Host{ID: "d", Role: hostlist.RoleRunner, Address: "127.0.0.1:1", Slots: 8, Upstream: "dead"})
	w := cause(f)
	if status == "aborted" {
		return
	}
	var body failure
	if code != "answer" {
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Fatalf("body %q: %v", w.Body, err)
		}
		if body.Code != code || body.Verdict != want {
			t.Errorf("body says %s, %s; want %s, %s", body.Code, body.Verdict, code, want)
		}
		if fmt.Sprint(w.Code) != status {
			t.Errorf("status %d, want %s", w.Code, status)
		}
	}
	if got := w.Header().Get(verdict.Header); got != want {
		t.Errorf("verdict %s, want %s (%d %s)", got, want, w.Code, w.Body)
	}
	if ran := f.executions("id") + f.executions("s"); want == "did-not-run" && ran != 0 {
		t.Errorf("told did-not-run, but the runner executed it %d times", ran)
	}
	if (w.Header().Get(HeaderRepeat) == "true") != strings.HasPrefix(name, "recorded") {
		t.Errorf("%s is %q", HeaderRepeat, w.Header().Get(HeaderRepeat))
	}
}
