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

// countingListener counts connections, and their bytes in both directions.
type countingListener struct {
	net.Listener
	bytes, conns *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.conns.Add(1)
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLeaseManagerStatus measures the traffic of the lease managers' status
// calls and of the lease calls, with 3 nodes and 50 runners that have no
// requests.
func BenchmarkLeaseManagerStatus(b *testing.B) {
	var totalBytes, conns atomic.Int64
	status := runner.Status{Slots: standin.Slots}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The lease manager polls again if a status is lost.
		_ = json.NewEncoder(w).Encode(status)
	})
	var hosts []hostlist.Host
	for i := range 50 {
		server := httptest.NewUnstartedServer(handler)
		server.Listener = countingListener{server.Listener, &totalBytes, &conns}
		server.Start()
		b.Cleanup(server.Close)
		hosts = append(hosts, hostlist.Host{
			ID: "r" + strconv.Itoa(i), Role: hostlist.RoleRunner, Address: server.Listener.Addr().String(),
			Slots: standin.Slots, Upstream: "u",
		})
	}
	_, ro := testOptions()
	f := newTestCluster(b, 3, 0, DefaultOptions(), ro, hosts...)
	for b.Loop() {
		bytes, calls, leases, began := totalBytes.Load(), conns.Load(), f.leaseBytes.Load(), time.Now()
		ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
		<-ctx.Done()
		cancel()
		seconds := time.Since(began).Seconds()
		b.ReportMetric(float64(totalBytes.Load()-bytes)/seconds, "B/s")
		b.ReportMetric(float64(conns.Load()-calls)/seconds, "calls/s")
		b.ReportMetric(float64(f.leaseBytes.Load()-leases)/seconds, "lease-B/s")
	}
}
