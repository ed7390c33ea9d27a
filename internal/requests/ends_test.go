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

// brokenBody is a request body that fails after some bytes.
type brokenBody struct{ remaining int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errors.New("caller stopped sending")
	}
	n := min(len(p), b.remaining)
	b.remaining -= n
	return n, nil
}

func streamedPost(body io.Reader, size int64) *http.Request {
	r := post("s", "")
	r.Body, r.ContentLength = io.NopCloser(body), size
	return r
}

func getRequests(n int, headers ...string) []*http.Request {
	var out []*http.Request
	for range n {
		out = append(out, request(http.MethodGet, "/v1/upstreams/u/x", "", headers...))
	}
	return out
}

func postWithFault(f standin.Fault) func(*testCluster) *httptest.ResponseRecorder {
	return func(fl *testCluster) *httptest.ResponseRecorder {
		fl.runners[0].SetFault(f)
		return fl.nodes[0].do(post("id", "body"))
	}
}

func send(r func() *http.Request) func(*testCluster) *httptest.ResponseRecorder {
	return func(f *testCluster) *httptest.ResponseRecorder { return f.nodes[0].do(r()) }
}

func sendEmpty(method, path string, headers ...string) func(*testCluster) *httptest.ResponseRecorder {
	return send(func() *http.Request { return request(method, path, "", headers...) })
}

// causes maps the name of each end in docs/verdicts.md to a function that causes
// it.
var causes = map[string]func(f *testCluster) *httptest.ResponseRecorder{
	"whole answer of the runner":                                        sendEmpty("GET", "/v1/upstreams/u/x"),
	"whole answer in which the runner itself says that it may have run": postWithFault(standin.Fault{Verdict: "may-have-run"}),
	"recorded answer to a repeated id (`Medlar-Repeat: true`)": func(f *testCluster) *httptest.ResponseRecorder {
		f.nodes[0].do(post("id", "body"))
		return f.nodes[1].do(post("id", "body"))
	},
	"path, upstream name or query not valid":          sendEmpty("GET", "/v1/upstreams/U%2f/x"),
	"CONNECT or TRACE":                                sendEmpty("TRACE", "/v1/upstreams/u/x"),
	"a Medlar header not valid, empty or given twice": sendEmpty("GET", "/v1/upstreams/u/x", HeaderDeadline, "soon"),
	"headers larger than allowed":                     sendEmpty("GET", "/v1/upstreams/u/x", "X-Large", strings.Repeat("x", 40<<10)),
	"non-idempotent without `Medlar-Request-Id`":      sendEmpty("POST", "/v1/upstreams/u/x"),
	"no key, or not `Bearer KEY`":                     sendEmpty("GET", "/v1/upstreams/u/x", "Authorization", "Basic a"),
	"key not in the configuration":                    sendEmpty("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/none"),
	"key withdrawn":                                   sendEmpty("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/old"),
	"configuration not proved fresh":                  sendEmpty("GET", "/v1/upstreams/u/x", "Authorization", "Bearer a/stale"),
	"class not open to the team":                      sendEmpty("GET", "/v1/upstreams/u/x", "Authorization", "Bearer calm", HeaderClass, "urgent"),
	"no such upstream":                                sendEmpty("GET", "/v1/upstreams/other/x"),
	"declared body larger than allowed":               send(func() *http.Request { return post("id", strings.Repeat("x", 2<<20)) }),
	"streamed body grew larger than allowed":          send(func() *http.Request { return streamedPost(strings.NewReader(strings.Repeat("x", 2<<20)), -1) }),
	"body broke off before the request was sent":      send(func() *http.Request { return streamedPost(&brokenBody{10}, 100) }),
	"body broke off while it was streamed":            send(func() *http.Request { return streamedPost(&brokenBody{200 << 10}, -1) }),
	"connection lost without a whole answer":          postWithFault(standin.Fault{CloseAfter: true}),
	"answer truncated before its head went out":       postWithFault(standin.Fault{Truncate: true}),
	"answer without length and chunks":                postWithFault(standin.Fault{Unframed: true}),
	"deadline passed while connecting":                sendEmpty("GET", "/v1/upstreams/blackhole/x", HeaderDeadline, "50"),
	"connecting to the runner failed":                 sendEmpty("GET", "/v1/upstreams/dead/x"),
	"buffers of the entry node full": func(f *testCluster) *httptest.ResponseRecorder {
		s := f.nodes[0].server
		s.bufferedBytes.Add(s.options.MaxBufferedBytes)
		defer s.bufferedBytes.Add(-s.options.MaxBufferedBytes)
		return f.nodes[0].do(post("id", "body"))
	},
	"the runner client can't form the request": func(f *testCluster) *httptest.ResponseRecorder {
		r := post("id", "body")
		r.Method = "NOT VALID"
		return f.nodes[0].do(r)
	},
	"entry node stopping": func(f *testCluster) *httptest.ResponseRecorder {
		f.nodes[0].server.Drain(f.t.Context())
		return f.nodes[0].do(post("id", "body"))
	},
	"queue of the team full": func(f *testCluster) *httptest.ResponseRecorder {
		f.fillSlotsAndQueue(3)
		return f.nodes[0].do(getRequests(1)[0])
	},
	"more teams than the node keeps queues for": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		f.nodes[0].start(getRequests(1)[0], getRequests(1, "Authorization", "Bearer b")[0])
		f.awaitArrivals(2)
		return f.nodes[0].do(getRequests(1, "Authorization", "Bearer c")[0])
	},
	"would end after its deadline": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		done := make(chan struct{})
		go func() { defer close(done); f.nodes[0].do(getRequests(1)[0]) }()
		f.awaitArrivals(1)
		f.clock.offset.Add(int64(10 * time.Second))
		f.runners[0].Release()
		<-done
		return f.nodes[0].do(getRequests(1, HeaderDeadline, "2s")[0])
	},
	"no slot before the deadline": func(f *testCluster) *httptest.ResponseRecorder {
		f.fillSlotsAndQueue(0)
		return f.nodes[0].do(getRequests(1, HeaderDeadline, "50ms")[0])
	},
	"runner refused (no free slot)": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		for range standin.Slots {
			go func() {
				if resp, err := http.Get("http://" + f.runners[0].Address()); err == nil {
					resp.Body.Close()
				}
			}()
		}
		f.awaitArrivals(standin.Slots)
		return f.nodes[0].do(post("id", "body"))
	},
	"no majority of entry nodes for the id": func(f *testCluster) *httptest.ResponseRecorder {
		f.setLinkCut("n0", "n1", true)
		f.setLinkCut("n2", "n0", true)
		return f.nodes[0].do(post("id", "body"))
	},
	"entry nodes disagree about the members": func(f *testCluster) *httptest.ResponseRecorder {
		f.nodes[0].setOffset(2)
		return f.nodes[0].do(post("id", "body"))
	},
	"node paused between reservation and dispatch": func(f *testCluster) *httptest.ResponseRecorder {
		pause := func() { f.clock.offset.Add(int64(2 * reservationUseTimeout)) }
		f.onReserve.Store(&pause)
		return f.nodes[0].do(post("id", "body"))
	},
	"id held by another attempt": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		f.nodes[0].start(post("id", "body"))
		f.awaitArrivals(1)
		return f.nodes[1].do(post("id", "body"))
	},
	"id ended before, answer too large to keep": func(f *testCluster) *httptest.ResponseRecorder {
		f.nodes[0].do(post("id", strings.Repeat("x", 32<<10)))
		return f.nodes[0].do(post("id", "body"))
	},
	"connection silent while new ones answer": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- f.nodes[0].do(post("id", "body")) }()
		f.awaitArrivals(1)
		f.runners[0].BlackholeConnections()
		f.runners[0].Release()
		return <-done
	},
	"deadline passed after dispatch": func(f *testCluster) *httptest.ResponseRecorder {
		f.runners[0].Hold()
		return f.nodes[0].do(post("id", "body", HeaderDeadline, "50ms"))
	},
	"answer truncated after its head went out": func(f *testCluster) *httptest.ResponseRecorder {
		// go-zero's recovery middleware would turn a mere panic into a complete
		// response.
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
					f.t.Errorf("chunked %v: %d bytes of a truncated response were forwarded as complete", chunked, len(body))
				}
			}
		}
		return nil
	},
}

// fillSlotsAndQueue occupies all slots of the first runner and queues the given
// number of further requests.
func (f *testCluster) fillSlotsAndQueue(queued int) {
	f.runners[0].Hold()
	for range standin.Slots {
		f.nodes[0].start(getRequests(1)...)
		f.awaitArrivals(1)
	}
	f.nodes[0].start(getRequests(queued)...)
	f.await("queue", func() bool { return f.waiting() == queued })
}

func (f *testCluster) waiting() int {
	n := 0
	for _, u := range f.nodes[0].server.Dump().Upstreams {
		n += u.Waiting
	}
	return n
}

// Guards against an end of a request that docs/verdicts.md does not list, or that
// differs in code, status or verdict from the page.
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
	for name := range causes {
		if !seen[name] {
			t.Errorf("%q is not in docs/verdicts.md", name)
		}
	}
}

func checkEnd(t *testing.T, name, code, status, want string) {
	cause := causes[name]
	if cause == nil {
		t.Fatal("the test has no cause for this end")
	}
	o, ro := testOptions()
	o.Router.QueuePerTeam, o.Router.MaxTeams = 3, 2
	nodes := 3
	if strings.Contains(name, "slot before") || strings.Contains(name, "queue of") {
		nodes = 1
	}
	f := newTestCluster(t, nodes, 1, o, ro,
		hostlist.Host{ID: "b", Role: hostlist.RoleRunner, Address: "blackhole", Slots: 8, Upstream: "blackhole"},
		hostlist.Host{ID: "d", Role: hostlist.RoleRunner, Address: "127.0.0.1:1", Slots: 8, Upstream: "dead"})
	w := cause(f)
	if status == "aborted" {
		return
	}
	var body errorBody
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
		t.Errorf("verdict did-not-run, but the runner executed the request %d times", ran)
	}
	if (w.Header().Get(HeaderRepeat) == "true") != strings.HasPrefix(name, "recorded") {
		t.Errorf("%s is %q", HeaderRepeat, w.Header().Get(HeaderRepeat))
	}
}
