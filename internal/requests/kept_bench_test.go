package requests

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
)

// countedListener counts connections and the bytes in both directions.
type countedListener struct {
	net.Listener
	bytes, conns *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.conns.Add(1)
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkKeptStatus measures the payload of the status calls of the slot
// keepers among 3 nodes to 50 runners without requests, and of the leases.
func BenchmarkKeptStatus(b *testing.B) {
	var sum, conns atomic.Int64
	status := runner.Status{Slots: standin.Slots}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A lost status is asked for again.
		_ = json.NewEncoder(w).Encode(status)
	})
	var hosts []hostlist.Host
	for i := range 50 {
		server := httptest.NewUnstartedServer(handler)
		server.Listener = countedListener{server.Listener, &sum, &conns}
		server.Start()
		b.Cleanup(server.Close)
		hosts = append(hosts, hostlist.Host{
			ID: "r" + strconv.Itoa(i), Role: hostlist.RoleRunner, Address: server.Listener.Addr().String(),
			Slots: standin.Slots, Upstream: "u",
		})
	}
	_, ro := testOptions()
	f := newFleet(b, 3, 0, DefaultOptions(), ro, hosts...)
	for b.Loop() {
		bytes, calls, leases, began := sum.Load(), conns.Load(), f.leaseBytes.Load(), time.Now()
		ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
		<-ctx.Done()
		cancel()
		seconds := time.Since(began).Seconds()
		b.ReportMetric(float64(sum.Load()-bytes)/seconds, "B/s")
		b.ReportMetric(float64(conns.Load()-calls)/seconds, "calls/s")
		b.ReportMetric(float64(f.leaseBytes.Load()-leases)/seconds, "lease-B/s")
	}
}
