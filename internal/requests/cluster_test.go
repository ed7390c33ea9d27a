package requests

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// eventTimeout bounds each wait for an event.
const eventTimeout = 20 * time.Second

// testClock is a clock that a test can advance.
type testClock struct {
	Clock
	offset atomic.Int64
}

func (c *testClock) Now() time.Duration {
	return c.Clock.Now() + time.Duration(c.offset.Load())
}

type testAuth map[string]KeyState

func (a testAuth) Authenticate(key, _ string) (Team, KeyState) {
	team, _, _ := strings.Cut(key, "/")
	t := Team{Name: team, Weight: 1}
	if team == "calm" {
		t.Classes = []work.Class{work.Normal}
	}
	state, ok := a[key]
	if !ok {
		state = KeyValid
	}
	return t, state
}

type testNode struct {
	name    string
	cluster *testCluster
	server  *Server
	client  *runner.HTTPClient
	view    atomic.Pointer[View]
}

func (n *testNode) View() View { return *n.view.Load() }

func (n *testNode) setOffset(offset uint64) {
	v := n.View()
	v.Offset = offset
	n.view.Store(&v)
}

// Do sends to a real runner, except that connecting to the address "blackhole"
// blocks until ctx ends.
func (n *testNode) Do(ctx context.Context, address string, req *runner.Request) (*runner.Response, error) {
	if address == "blackhole" {
		<-ctx.Done()
		return nil, verdict.Wrap(ctx.Err(), verdict.DidNotRun, runner.CodeRunnerUnreachable)
	}
	return n.client.Do(ctx, address, req)
}

func (n *testNode) Status(ctx context.Context, address string) (runner.Status, error) {
	if address == "blackhole" {
		return runner.Status{Slots: standin.Slots}, nil
	}
	return n.client.Status(ctx, address)
}

func (n *testNode) Forget(address string) { n.client.Forget(address) }

// testPeers connects the nodes of a test cluster. Its links can be cut.
type testPeers struct {
	*testCluster
	from string
}

var errMessageLost = errors.New("message lost")

func callPeer[Q, A any](p testPeers, to string, f func(*Server, context.Context, Q) (A, error), ctx context.Context, req Q) (A, error) {
	var none A
	if p.linkCut(p.from, to) {
		return none, errMessageLost
	}
	out, err := f(p.node(to).server, ctx, req)
	if p.linkCut(to, p.from) {
		return none, errMessageLost
	}
	return out, err
}

func (p testPeers) ReserveRequest(ctx context.Context, to string, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	if f := p.onReserve.Load(); f != nil {
		(*f)()
	}
	return callPeer(p, to, (*Server).ReserveRequest, ctx, req)
}

func (p testPeers) FinishRequest(ctx context.Context, to string, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	return callPeer(p, to, (*Server).FinishRequest, ctx, req)
}

func (p testPeers) LeaseSlots(ctx context.Context, to string, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	out, err := callPeer(p, to, (*Server).LeaseSlots, ctx, req)
	p.leaseBytes.Add(int64(proto.Size(req) + proto.Size(out)))
	return out, err
}

// testCluster is a set of entry nodes that forward to runners of the upstream "u".
type testCluster struct {
	t         testing.TB
	clock     *testClock
	nodes     []*testNode
	runners   []*standin.Runner
	mu        sync.Mutex
	cutLinks  map[string]bool
	onReserve atomic.Pointer[func()]
	// leaseBytes counts the bytes of the lease calls between nodes.
	leaseBytes atomic.Int64
}

func testOptions() (Options, runner.Options) {
	o := DefaultOptions()
	o.MaxBody = 1 << 20
	o.PeerTimeout = eventTimeout
	o.LeaseInterval, o.MinLeaseInterval = 20*time.Millisecond, 2*time.Millisecond
	o.Log = slog.New(slog.DiscardHandler)
	r := runner.DefaultOptions()
	r.ProgressTimeout = 200 * time.Millisecond
	return o, r
}

func newTestCluster(t testing.TB, nodes, runners int, o Options, ro runner.Options, extra ...hostlist.Host) *testCluster {
	f := &testCluster{t: t, clock: &testClock{Clock: NewClock()}, cutLinks: map[string]bool{}}
	hosts := extra
	for i := range runners {
		r, err := standin.Start()
		if err != nil {
			t.Fatal(err)
		}
		f.runners = append(f.runners, r)
		hosts = append(hosts, hostlist.Host{
			ID: fmt.Sprint("r", i), Role: hostlist.RoleRunner, Address: r.Address(), Slots: standin.Slots, Upstream: "u",
		})
	}
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	auth := testAuth{"a/old": KeyWithdrawn, "a/none": KeyUnknown, "a/stale": ConfigStale}
	for _, name := range names {
		n := &testNode{name: name, cluster: f, client: runner.NewHTTPClient(ro)}
		n.view.Store(&View{Self: name, Incarnation: 1, Members: names, Voters: names, Configured: nodes, Offset: 1, InitialMember: true})
		n.server = New(o, auth, n, testPeers{f, name}, n, f.clock)
		f.nodes = append(f.nodes, n)
	}
	t.Cleanup(f.close)
	for _, n := range f.nodes {
		n.server.SetRunners(hosts)
	}
	f.await("slots", func() bool {
		f.clock.offset.Add(int64(200 * time.Millisecond))
		for _, n := range f.nodes {
			for _, u := range n.server.Dump().Upstreams {
				for _, r := range u.Runners {
					if r.Held == 0 {
						return false
					}
				}
			}
		}
		return true
	})
	return f
}

func (f *testCluster) close() {
	for _, r := range f.runners {
		r.Release()
		r.Close()
	}
	for _, n := range f.nodes {
		n.server.Close()
		n.client.Close()
	}
}

// await polls until ok returns true. It is for states that have no event.
func (f *testCluster) await(what string, ok func() bool) {
	f.t.Helper()
	gomega.NewWithT(f.t).Eventually(ok).WithTimeout(eventTimeout).WithPolling(time.Millisecond).Should(gomega.BeTrue(), what)
}

func (f *testCluster) node(name string) *testNode {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *testNode) bool { return n.name == name })]
}

func (f *testCluster) linkCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutLinks[from+to]
}

func (f *testCluster) setLinkCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutLinks[from+to] = cut
}

// awaitArrivals waits until n requests have occupied a slot of the first runner.
func (f *testCluster) awaitArrivals(n int) {
	f.t.Helper()
	for range n {
		select {
		case <-f.runners[0].StartedRequests():
		case <-time.After(eventTimeout):
			f.t.Fatal("no request arrived at the runner")
		}
	}
}

func (f *testCluster) executions(id string) int {
	n := 0
	for _, r := range f.runners {
		n += r.Executions(id)
	}
	return n
}

// request builds a request with headers given as name, value pairs.
func request(method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer a")
	for i := 0; i < len(headers); i += 2 {
		r.Header[headers[i]] = []string{headers[i+1]}
	}
	return r
}

func post(id, body string, headers ...string) *http.Request {
	return request(http.MethodPost, "/v1/upstreams/u/x", body, append(headers, HeaderID, id)...)
}

func (n *testNode) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.server.ServeHTTP(w, r)
	return w
}

// start sends requests in the background. The test waits for them in its cleanup.
func (n *testNode) start(requests ...*http.Request) {
	var wg sync.WaitGroup
	for _, r := range requests {
		wg.Go(func() { n.do(r) })
	}
	n.cluster.t.Cleanup(func() {
		n.cluster.runners[0].Release()
		wg.Wait()
	})
}
