// Package metrics sets up the metrics of a node and their export to Prometheus.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which counters are updated for scraping.
const reportInterval = time.Second

// NewScope returns the root scope of the metrics of a node and the HTTP handler
// that serves them for scraping.
func NewScope(node string) (tally.Scope, http.Handler) {
	// A separate registry for each node lets several nodes run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "medlarpulley", Tags: map[string]string{"node": node},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	return scope, reporter.HTTPHandler()
}
