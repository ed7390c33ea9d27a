package peer

import "time"

const (
	// CallTimeout is the deadline of a call whose context has no earlier one.
	CallTimeout = 2 * time.Second
	// MaxInFlight bounds the calls to one peer at a time.
	MaxInFlight = 64
	// MaxPeers bounds the connections of a Pool.
	MaxPeers = 64
	// maxStreams bounds the calls that a server handles for one connection; it
	// leaves room for a replaced connection that has not ended.
	maxStreams = 2 * MaxInFlight
	// maxMessage bounds one message. A summary of 512 shards with 68 teams is
	// below 2 MiB.
	maxMessage = 4 << 20
	// probeInterval is the shortest that the library's client accepts.
	probeInterval = 10 * time.Second
	probeTimeout  = 2 * time.Second
	// probeMinimum is the shortest interval that a server accepts.
	probeMinimum   = 5 * time.Second
	connectTimeout = time.Second
	maxBackoff     = time.Second
)

const (
	// verdictKey and codeKey are trailers that carry a handler's verdict.
	verdictKey = "medlar-verdict"
	codeKey    = "medlar-code"
)
