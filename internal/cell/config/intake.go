package config

const (
	// bodyMemoryDivisor is the part of the memory for request bodies of callers, and
	// peerMemoryDivisor that for messages of other nodes.
	bodyMemoryDivisor = 8
	peerMemoryDivisor = 8
	// callerConnectionBytes is the memory for which there is one connection of a caller.
	// One with the largest header and the first block of a body takes 61 KiB, of which 8
	// belong to the bodies; all of them take less than a fifth of the memory.
	callerConnectionBytes = 300 << 10
	// peerConnectionBytes is the memory for which there is one connection of another
	// node. One that is idle takes 44 KiB; all of them take a twentieth of the memory.
	peerConnectionBytes = 1 << 20
	// callerFDDivisor, peerFDDivisor and statusFDDivisor are the parts of the file
	// descriptors for connections of callers, other nodes and operators. The others are
	// for connections to hosts, to other nodes and to the store.
	callerFDDivisor = 2
	peerFDDivisor   = 8
	statusFDDivisor = 32
	// maxPeerConnections and maxStatusConnections are enough for any cell: a node has one
	// connection from each other node, and few operators.
	maxPeerConnections   = 512
	maxStatusConnections = 64
)

// Intake holds the bounds for what clients of one process may hold open.
type Intake struct {
	// BodyBytes is the memory for request bodies of callers, PeerBytes that for messages
	// of other nodes.
	BodyBytes, PeerBytes int64
	// The greatest numbers of open connections.
	CallerConnections, PeerConnections, StatusConnections int
}

// Intake returns the bounds of a process with a RLIMIT_NOFILE. The reasons are in
// docs/design/client-limits.md.
func (l Limits) Intake(rlimit uint64) Intake {
	fds := int64(min(rlimit, maxBound))
	if l.MaxFDs > 0 {
		fds = min(fds, l.MaxFDs)
	}
	memory := l.MemoryBytes()
	v := Intake{
		BodyBytes: memory / bodyMemoryDivisor, PeerBytes: memory / peerMemoryDivisor,
		CallerConnections: int(max(min(fds/callerFDDivisor, memory/callerConnectionBytes), 1)),
		PeerConnections:   int(max(min(fds/peerFDDivisor, memory/peerConnectionBytes, maxPeerConnections), 1)),
		StatusConnections: int(max(min(fds/statusFDDivisor, maxStatusConnections), 1)),
	}
	if l.BodyMemoryMiB > 0 {
		v.BodyBytes = l.BodyMemoryMiB << 20
	}
	if l.CallerConnections > 0 {
		v.CallerConnections = int(min(l.CallerConnections, max(fds/callerFDDivisor, 1)))
	}
	return v
}
