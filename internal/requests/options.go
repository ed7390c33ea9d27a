package requests

import (
	"log/slog"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/uber-go/tally/v4"
)

const (
	// MaxUpstreams bounds the upstreams of a node.
	MaxUpstreams = 1024
	// maxAttempts bounds the attempts of one idempotent request.
	maxAttempts = 3
	// shardCount is the number of shards of the voter and lending tables.
	shardCount = 16
	// reservationUse is how long after its start a reservation may be used.
	// Voters remember ids for far longer, so a node that was paused in between
	// can't dispatch an id that they have forgotten.
	reservationUse = 5 * time.Second
	// slowAfter is the time from which a missed deadline counts as a failure of
	// the runner. Callers choose deadlines, so shorter ones prove nothing.
	slowAfter = time.Second
)

// Options are the settings of the request path.
type Options struct {
	Router router.Options
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// Buffer bounds the part of a request or answer kept in memory, in bytes.
	// An idempotent request is retried only while its body fits.
	Buffer int
	// BufferTotal bounds the buffers of all requests, in bytes.
	BufferTotal int64
	// MaxHeader bounds the header of a request, in bytes.
	MaxHeader int
	// DefaultDeadline is used for requests without one.
	DefaultDeadline time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// VoterEntries bounds the ids of non-idempotent requests remembered. A full
	// voter grants nothing until the oldest are ten minutes old.
	VoterEntries int
	// LeaseEvery is the time between two demands to a slot keeper. With 1 s, a
	// keeper change could put off the word that a runner leaves beyond 3 s.
	LeaseEvery time.Duration
	// LeaseGap is the least time between two demands when requests begin to
	// wait. It doubles up to LeaseEvery while they go on waiting.
	LeaseGap time.Duration
	// StatusEvery is the time between two looks at slots in unknown state.
	StatusEvery time.Duration
	Metrics     tally.Scope
	Log         *slog.Logger
}

// DefaultOptions returns the settings used where none are given.
func DefaultOptions() Options {
	return Options{
		Router: router.DefaultOptions(), MaxBody: 64 << 20, Buffer: 64 << 10, BufferTotal: 32 << 20,
		MaxHeader: 32 << 10, VoterEntries: router.DefaultVoterEntries, DefaultDeadline: 30 * time.Second, PeerTimeout: 500 * time.Millisecond,
		LeaseEvery: 500 * time.Millisecond, LeaseGap: 20 * time.Millisecond, StatusEvery: 100 * time.Millisecond,
		Metrics: tally.NoopScope, Log: slog.Default(),
	}
}
