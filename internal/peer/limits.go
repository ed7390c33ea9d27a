package peer

import "time"

const (
	// CallTimeout is the deadline of a call whose context has no earlier one.
	CallTimeout = 2 * time.Second
	// MaxInFlight is the maximum number of concurrent calls to one peer.
	MaxInFlight = 64
	// MaxPeers is the maximum number of peers of a Pool.
	MaxPeers = 64
	// maxStreamsPerConn is the maximum number of concurrent calls that a server
	// accepts on one connection. It leaves room for the calls of a replaced
	// connection that have not ended.
	maxStreamsPerConn = 2 * MaxInFlight
	// maxMessageBytes is the maximum size of one message. A summary of 512
	// shards with 68 teams is smaller than 2 MiB.
	maxMessageBytes = 4 << 20
	// keepaliveInterval is the time without traffic after which a keepalive is
	// sent. It is the shortest that the gRPC client accepts.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// minKeepaliveInterval is the shortest keepalive interval that a server
	// accepts from clients.
	minKeepaliveInterval = 5 * time.Second
	connectTimeout       = time.Second
	maxConnectBackoff    = time.Second
)

const (
	// verdictKey and codeKey are the trailers that carry the verdict and code of
	// a handler's error.
	verdictKey = "medlar-verdict"
	codeKey    = "medlar-code"
)
