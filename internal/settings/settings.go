// Package settings holds the TOML settings of one entry process. One table
// defines every setting with its unit, default, range and documentation.
package settings

import "time"

// Settings are the checked settings of one process.
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

// Node says which process this is and where it runs.
type Node struct {
	Name, Zone, Region string
}

// Listen holds listening addresses, and the addresses announced to others.
type Listen struct {
	HTTP, Peer, Metrics          string
	AdvertiseHTTP, AdvertisePeer string
}

// Platform holds the addresses of the external systems.
type Platform struct {
	LogURL, HostListURL       string
	LogTimeout, HostListEvery time.Duration
	WorkerInterval            time.Duration
}

// Cluster is the same on every entry node.
type Cluster struct {
	Nodes, ShardsPerZone int
}

// Timing holds the times of a planned stop. Times that the safety of ownership
// rests on are equal on all nodes and therefore constants of a release.
type Timing struct {
	DrainWait, DrainTimeout time.Duration
}

// Limits bound what the process holds.
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
	// Token is empty only in settings that no file was read for.
	Token string
	// TokenFile is where Token was read from.
	TokenFile string
}

// Log holds the settings of log output.
type Log struct {
	Level, Format string
}
