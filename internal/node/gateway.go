package node

import (
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/requests"
)

// newGateway creates the HTTP server for callers and operators.
func (n *Node) newGateway() (err error) {
	s := n.settings
	n.gateway, err = gateway.New(gateway.Config{
		OperatorToken: s.Operator.Token, OperatorsOpen: s.Operator.Token == "",
		MaxJobBytes: s.Limits.JobBytes, MaxBatchBytes: s.Limits.BatchBytes, MaxPublicationBytes: s.Limits.PublicationBytes,
		MaxBatchJobs: s.Limits.BatchJobs, MaxWatches: s.Limits.Watches,
		DefaultDeadline: s.Request.DefaultDeadline, Metrics: n.metrics, Upstreams: n.requests, Log: n.baseLog,
	}, n)
	return err
}

// requestOptions returns the options of the request path from the settings.
func (n *Node) requestOptions() requests.Options {
	o := requests.DefaultOptions()
	o.MaxBody = n.settings.Limits.RequestBytes
	o.DefaultDeadline = n.settings.Request.DefaultDeadline
	o.Metrics = n.scope.SubScope("requests")
	o.Log = n.baseLog
	o.Router.Zone = n.settings.Node.Zone
	o.Router.QueuePerTeam = n.settings.Limits.QueuedPerTeam
	return o
}

// runnerOptions returns the options of the connections to runners from the
// settings.
func (n *Node) runnerOptions() runner.Options {
	o := runner.DefaultOptions()
	o.ProgressTimeout = n.settings.Request.ProgressTimeout
	o.DialTimeout = n.settings.Request.ConnectTimeout
	o.MaxConnections = n.settings.Request.ConnectionsPerRunner
	o.MaxIdleConnections, o.MaxIdleNonIdempotent = min(o.MaxIdleConnections, o.MaxConnections), min(o.MaxIdleNonIdempotent, o.MaxConnections)
	return o
}
