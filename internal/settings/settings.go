// Package settings defines, parses and validates the TOML settings of one entry
// process. One table defines every setting with its unit, default, range and
// documentation. Invalid settings must never reach the process: a file is
// rejected as a whole.
package settings

import "time"

// Settings holds the validated settings of one process.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Cluster  Cluster
	Timing   Timing
	Limits   Limits
	Request  Request
	Operator Operator
	Log      Log
}

// Node identifies the process and its location.
type Node struct {
	Name, Zone, Region string
}

// Listen holds the listening addresses, and the addresses advertised to other
// nodes.
type Listen struct {
	HTTP, Peer, Metrics          string
	AdvertiseHTTP, AdvertisePeer string
}

// Platform holds the addresses of the external systems, and the timeouts and
// intervals of calls to them and to workers.
type Platform struct {
	LogURL, HostListURL          string
	LogTimeout, HostListInterval time.Duration
	WorkerInterval               time.Duration
}

// Cluster holds the settings that must be equal on all entry nodes.
type Cluster struct {
	Nodes, ShardsPerZone int
}

// Timing holds the durations of a planned shutdown. Durations on which the safety
// of shard ownership depends must be equal on all nodes, so they are constants of
// a release instead of settings.
type Timing struct {
	DrainWait, DrainTimeout time.Duration
}

// Limits bounds the queues, streams, request bodies and memory of the process.
type Limits struct {
	QueuedPerTeam, Watches                               int
	JobBytes, BatchBytes, PublicationBytes, RequestBytes int64
	BatchJobs                                            int
	Memory                                               int64
}

// Request holds the settings of the request path.
type Request struct {
	ProgressTimeout, ConnectTimeout, DefaultDeadline time.Duration
	ConnectionsPerRunner                             int
}

// Operator holds the authentication of operators.
type Operator struct {
	// Token is empty only in settings that were not read from a file.
	Token string
	// TokenFile is the path of the file that Token was read from, if any.
	TokenFile string
}

// Log holds the settings of log output.
type Log struct {
	Level, Format string
}
