package requests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
)

// loadDuration is the base duration of a load. The benchmarks compare results
// within one run; run them with -benchtime 1x.
const loadDuration = 2 * time.Second

// load is a closed-loop load from callers of one team.
type load struct {
	url, team, method string
	callers           int
	deadline          string
}

type loadResult struct {
	latency           *hdrhistogram.Histogram
	succeeded, failed int64
	cpu               time.Duration
}

func (m *loadResult) latencyMicros(q float64) float64 {
	return float64(m.latency.ValueAtQuantile(q)) / 1000
}

func (m *loadResult) cpuPerRequest() float64 {
	return float64(m.cpu.Microseconds()) / float64(m.succeeded)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var benchID atomic.Int64

func (l load) send(client *http.Client) bool {
	var body io.Reader
	if l.method == http.MethodPost {
		body = strings.NewReader("body")
	}
	req, err := http.NewRequest(l.method, l.url+"/v1/upstreams/u/x", body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+l.team)
	req.Header.Set(HeaderID, fmt.Sprint("b", benchID.Add(1)))
	if l.deadline != "" {
		req.Header.Set(HeaderDeadline, l.deadline)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func newCaller(n int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
}

// run sends requests for d. Failed requests are counted, but their latency is
// not recorded.
func (l load) run(d time.Duration) *loadResult {
	client := newCaller(l.callers)
	defer client.CloseIdleConnections()
	m := &loadResult{latency: hdrhistogram.New(1, 60_000_000_000, 3)}
	start, cpu := time.Now(), cpuTime()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range l.callers {
		wg.Go(func() {
			h := hdrhistogram.New(1, 60_000_000_000, 3)
			succeeded, failed := int64(0), int64(0)
			for time.Since(start) < d {
				t := time.Now()
				if !l.send(client) {
					failed++
					continue
				}
				succeeded++
				_ = h.RecordValue(time.Since(t).Nanoseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			m.latency.Merge(h)
			m.succeeded, m.failed = m.succeeded+succeeded, m.failed+failed
		})
	}
	wg.Wait()
	m.cpu = cpuTime() - cpu
	return m
}

func (m *loadResult) add(o *loadResult) {
	m.latency.Merge(o.latency)
	m.succeeded, m.failed, m.cpu = m.succeeded+o.succeeded, m.failed+o.failed, m.cpu+o.cpu
}

// plainProxy forwards to the runners in round-robin order and does nothing else.
// It is the baseline for the overhead of the entry node.
func plainProxy(runners []*standin.Runner) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var next atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", runners[next.Add(1)%int64(len(runners))].Address(), ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, v := range resp.Header {
			w.Header()[name] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

type benchSetup struct {
	*testCluster
	medlarURL, proxyURL, directURL string
}

func newBench(b *testing.B, nodes, runners int, slow time.Duration) *benchSetup {
	o, ro := testOptions()
	o.LeaseInterval, o.MinLeaseInterval = DefaultOptions().LeaseInterval, DefaultOptions().MinLeaseInterval
	o.MaxVoterEntries = 10_000_000
	s := &benchSetup{testCluster: newTestCluster(b, nodes, runners, o, ro)}
	front, plain := httptest.NewServer(s.nodes[0].server), httptest.NewServer(plainProxy(s.runners))
	b.Cleanup(func() { front.Close(); plain.Close() })
	s.medlarURL, s.proxyURL, s.directURL = front.URL, plain.URL, "http://"+s.runners[0].Address()
	for _, r := range s.runners {
		r.SetFault(standin.Fault{Slow: slow})
	}
	return s
}

// compareLoads runs the load directly, through the plain proxy and through the
// entry node in alternating rounds, so that noise affects all three.
func (s *benchSetup) compareLoads(l load, rounds int) (direct, plain, medlar *loadResult) {
	out := make([]*loadResult, 3)
	for round := range rounds + 1 {
		for i, url := range []string{s.directURL, s.proxyURL, s.medlarURL} {
			l.url, l.team = url, "a"
			m := l.run(loadDuration / 2)
			switch round {
			case 0: // warm-up
			case 1:
				out[i] = m
			default:
				out[i].add(m)
			}
		}
	}
	return out[0], out[1], out[2]
}

func benchLatency(b *testing.B, method string, nodes int) {
	s := newBench(b, nodes, 1, 2*time.Millisecond)
	for b.Loop() {
		direct, plain, medlar := s.compareLoads(load{method: method, callers: 4}, 4)
		for _, q := range []float64{50, 99} {
			b.ReportMetric(direct.latencyMicros(q), fmt.Sprintf("direct-p%v-us", q))
			b.ReportMetric(plain.latencyMicros(q)-direct.latencyMicros(q), fmt.Sprintf("bare-added-p%v-us", q))
			b.ReportMetric(medlar.latencyMicros(q)-direct.latencyMicros(q), fmt.Sprintf("added-p%v-us", q))
		}
		b.ReportMetric(float64(medlar.failed), "failed")
	}
}

// BenchmarkAddedLatency measures the added latency at half load: 4 callers on 8
// slots with a service time of 2 ms.
func BenchmarkAddedLatency(b *testing.B) {
	b.Run("idempotent", func(b *testing.B) { benchLatency(b, http.MethodGet, 1) })
	b.Run("non-idempotent-3-nodes", func(b *testing.B) { benchLatency(b, http.MethodPost, 3) })
}

// BenchmarkThroughputPerCore compares the CPU time that the plain proxy and the
// entry node add to a direct call.
func BenchmarkThroughputPerCore(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			s := newBench(b, 1, 4, 0)
			for b.Loop() {
				direct, plain, medlar := s.compareLoads(load{method: method, callers: 8}, 4)
				b.ReportMetric(direct.cpuPerRequest(), "direct-cpu-us")
				b.ReportMetric(plain.cpuPerRequest(), "bare-cpu-us")
				b.ReportMetric(medlar.cpuPerRequest(), "medlar-cpu-us")
				b.ReportMetric((plain.cpuPerRequest()-direct.cpuPerRequest())/(medlar.cpuPerRequest()-direct.cpuPerRequest()), "per-core-ratio")
				b.ReportMetric(float64(medlar.succeeded)/float64(plain.succeeded), "throughput-ratio")
				b.ReportMetric(float64(medlar.failed), "failed")
			}
		})
	}
}

// BenchmarkOverload sends an open-loop load of three times the capacity of 8
// slots with a service time of 10 ms, and counts the responses within the deadline.
func BenchmarkOverload(b *testing.B) {
	s := newBench(b, 1, 1, 10*time.Millisecond)
	for b.Loop() {
		capacity := float64(load{url: s.medlarURL, team: "a", method: http.MethodGet, callers: 16}.run(loadDuration).succeeded) / loadDuration.Seconds()
		client := newCaller(512)
		l := load{url: s.medlarURL, team: "a", method: http.MethodGet, deadline: "250ms"}
		ctx, cancel := context.WithTimeout(b.Context(), 2*loadDuration)
		var good, sent atomic.Int64
		var wg sync.WaitGroup
		begin := time.Now()
		for ctx.Err() == nil {
			due := int64(time.Since(begin).Seconds() * 3 * capacity)
			for ; sent.Load() < due; sent.Add(1) {
				wg.Go(func() {
					t := time.Now()
					if l.send(client) && time.Since(t) < 300*time.Millisecond {
						good.Add(1)
					}
				})
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		cancel()
		seconds := time.Since(begin).Seconds()
		client.CloseIdleConnections()
		b.ReportMetric(capacity, "capacity-rps")
		b.ReportMetric(float64(sent.Load())/seconds/capacity, "offered-ratio")
		b.ReportMetric(float64(good.Load())/seconds/capacity, "goodput-ratio")
	}
}

// BenchmarkFlood compares the p99 latency of a low-load team alone and next to a
// team that overloads the upstream, on 4 runners with 8 slots and a service time
// of 10 ms.
func BenchmarkFlood(b *testing.B) {
	s := newBench(b, 1, 4, 10*time.Millisecond)
	calm := load{url: s.medlarURL, team: "b", method: http.MethodGet, callers: 8}
	for b.Loop() {
		calm.run(loadDuration)
		alone := calm.run(2 * loadDuration)
		done := make(chan struct{})
		go func() {
			defer close(done)
			load{url: s.medlarURL, team: "flood", method: http.MethodGet, callers: 96}.run(3 * loadDuration)
		}()
		calm.run(loadDuration / 2)
		beside := calm.run(2 * loadDuration)
		<-done
		for _, q := range []float64{50, 99} {
			b.ReportMetric(alone.latencyMicros(q), fmt.Sprintf("alone-p%v-us", q))
			b.ReportMetric(beside.latencyMicros(q), fmt.Sprintf("flooded-p%v-us", q))
		}
		b.ReportMetric(beside.latencyMicros(99)/alone.latencyMicros(99), "p99-ratio")
		b.ReportMetric(float64(beside.failed), "failed")
	}
}
