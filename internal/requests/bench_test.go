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

// The benchmarks compare within one run; run them with -benchtime 1x.
const benchTime = 2 * time.Second

// load is a closed loop of callers of one team.
type load struct {
	url, team, method string
	callers           int
	deadline          string
}

type measured struct {
	latency   *hdrhistogram.Histogram
	good, bad int64
	cpu       time.Duration
}

func (m *measured) at(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }

func (m *measured) cpuPerRequest() float64 { return float64(m.cpu.Microseconds()) / float64(m.good) }

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

// run sends for a time. Failed requests count but have no latency.
func (l load) run(d time.Duration) *measured {
	client := newCaller(l.callers)
	defer client.CloseIdleConnections()
	m := &measured{latency: hdrhistogram.New(1, 60_000_000_000, 3)}
	start, cpu := time.Now(), cpuTime()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range l.callers {
		wg.Go(func() {
			h := hdrhistogram.New(1, 60_000_000_000, 3)
			good, bad := int64(0), int64(0)
			for time.Since(start) < d {
				t := time.Now()
				if !l.send(client) {
					bad++
					continue
				}
				good++
				_ = h.RecordValue(time.Since(t).Nanoseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			m.latency.Merge(h)
			m.good, m.bad = m.good+good, m.bad+bad
		})
	}
	wg.Wait()
	m.cpu = cpuTime() - cpu
	return m
}

func (m *measured) add(o *measured) {
	m.latency.Merge(o.latency)
	m.good, m.bad, m.cpu = m.good+o.good, m.bad+o.bad, m.cpu+o.cpu
}

// bare forwards to runners in turn with nothing but a copy.
func bare(runners []*standin.Runner) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var turn atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", runners[turn.Add(1)%int64(len(runners))].Address(), ""
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
	*fleet
	medlar, bare, direct string
}

func newBench(b *testing.B, nodes, runners int, slow time.Duration) *benchSetup {
	o, ro := testOptions()
	o.LeaseEvery, o.LeaseGap = DefaultOptions().LeaseEvery, DefaultOptions().LeaseGap
	o.VoterEntries = 10_000_000
	s := &benchSetup{fleet: newFleet(b, nodes, runners, o, ro)}
	front, plain := httptest.NewServer(s.nodes[0].server), httptest.NewServer(bare(s.runners))
	b.Cleanup(func() { front.Close(); plain.Close() })
	s.medlar, s.bare, s.direct = front.URL, plain.URL, "http://"+s.runners[0].Address()
	for _, r := range s.runners {
		r.SetFault(standin.Fault{Slow: slow})
	}
	return s
}

// compareLoads runs the three ways in turns, so that noise hits all of them.
func (s *benchSetup) compareLoads(l load, rounds int) (direct, plain, medlar *measured) {
	out := make([]*measured, 3)
	for round := range rounds + 1 {
		for i, url := range []string{s.direct, s.bare, s.medlar} {
			l.url, l.team = url, "a"
			m := l.run(benchTime / 2)
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
			b.ReportMetric(direct.at(q), fmt.Sprintf("direct-p%v-us", q))
			b.ReportMetric(plain.at(q)-direct.at(q), fmt.Sprintf("bare-added-p%v-us", q))
			b.ReportMetric(medlar.at(q)-direct.at(q), fmt.Sprintf("added-p%v-us", q))
		}
		b.ReportMetric(float64(medlar.bad), "failed")
	}
}

// BenchmarkAddedLatency is at half load: 4 callers on 8 slots of 2 ms.
func BenchmarkAddedLatency(b *testing.B) {
	b.Run("idempotent", func(b *testing.B) { benchLatency(b, http.MethodGet, 1) })
	b.Run("non-idempotent-3-nodes", func(b *testing.B) { benchLatency(b, http.MethodPost, 3) })
}

// BenchmarkThroughputPerCore compares the processor time that a forward adds
// to a direct call.
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
				b.ReportMetric(float64(medlar.good)/float64(plain.good), "throughput-ratio")
				b.ReportMetric(float64(medlar.bad), "failed")
			}
		})
	}
}

// BenchmarkOverload offers three times the capacity of 8 slots of 10 ms in an
// open loop and counts the answers within the deadline.
func BenchmarkOverload(b *testing.B) {
	s := newBench(b, 1, 1, 10*time.Millisecond)
	for b.Loop() {
		capacity := float64(load{url: s.medlar, team: "a", method: http.MethodGet, callers: 16}.run(benchTime).good) / benchTime.Seconds()
		client := newCaller(512)
		l := load{url: s.medlar, team: "a", method: http.MethodGet, deadline: "250ms"}
		ctx, cancel := context.WithTimeout(b.Context(), 2*benchTime)
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

// BenchmarkFlood compares the p99 of a calm team alone and beside a team that
// floods, on 4 runners of 8 slots of 10 ms.
func BenchmarkFlood(b *testing.B) {
	s := newBench(b, 1, 4, 10*time.Millisecond)
	quiet := load{url: s.medlar, team: "b", method: http.MethodGet, callers: 8}
	for b.Loop() {
		quiet.run(benchTime)
		alone := quiet.run(2 * benchTime)
		done := make(chan struct{})
		go func() {
			defer close(done)
			load{url: s.medlar, team: "flood", method: http.MethodGet, callers: 96}.run(3 * benchTime)
		}()
		quiet.run(benchTime / 2)
		beside := quiet.run(2 * benchTime)
		<-done
		for _, q := range []float64{50, 99} {
			b.ReportMetric(alone.at(q), fmt.Sprintf("alone-p%v-us", q))
			b.ReportMetric(beside.at(q), fmt.Sprintf("flooded-p%v-us", q))
		}
		b.ReportMetric(beside.at(99)/alone.at(99), "p99-ratio")
		b.ReportMetric(float64(beside.bad), "failed")
	}
}
