// Package metrics sets up the metrics of a process.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// interval is how often counters are passed on for scraping.
const interval = time.Second

// NewScope returns the root of the metrics of a node and the handler that
// serves them for scraping.
func NewScope(node string) (tally.Scope, http.Handler) {
	// A registry of its own lets several nodes run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "medlarpulley", Tags: map[string]string{"node": node},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, interval)
	return scope, reporter.HTTPHandler()
}
