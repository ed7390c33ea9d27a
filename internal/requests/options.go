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
	// partitionCount is the number of partitions of the voter table and of the
	// lease manager. Each partition has its own lock.
	partitionCount = 16
	// reservationUseTimeout is the time from the start of a reservation in which
	// its request may be sent. Voters remember ids for far longer, so a node that
	// was paused after the reservation can't send a request whose id the voters
	// have forgotten.
	reservationUseTimeout = 5 * time.Second
	// slowRunnerThreshold is the least duration of an attempt for which a missed
	// deadline counts as a failure of the runner. Callers choose their deadlines,
	// so a missed shorter one says nothing about the runner.
	slowRunnerThreshold = time.Second
)

// Options are the settings of a Server.
type Options struct {
	Router router.Options
	// MaxBody bounds the size of a request body, in bytes.
	MaxBody int64
	// BufferBytes bounds the part of a request or response body that is buffered
	// in memory. An idempotent request whose body does not fit is retried only
	// if the failed attempt did not run and read nothing beyond the buffer.
	BufferBytes int
	// MaxBufferedBytes bounds the request buffers of all requests together.
	MaxBufferedBytes int64
	// MaxHeaderBytes bounds the size of the headers of a request.
	MaxHeaderBytes int
	// DefaultDeadline applies to requests that state no deadline.
	DefaultDeadline time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// MaxVoterEntries bounds the ids of non-idempotent requests that this node
	// remembers as a voter. A full voter grants nothing until its oldest entries
	// are ten minutes old.
	MaxVoterEntries int
	// LeaseInterval is the time between two lease calls to a lease manager.
	// With 1 s, after a change of the lease manager, a node could learn later than
	// 3 s that a runner is leaving.
	LeaseInterval time.Duration
	// MinLeaseInterval is the least time between two lease calls when requests
	// start to wait. While they keep waiting, the time doubles up to
	// LeaseInterval. It is also the least time between two status polls.
	MinLeaseInterval time.Duration
	// StatusPollInterval is the time between two checks for slots whose state is
	// unknown.
	StatusPollInterval time.Duration
	Metrics            tally.Scope
	Log                *slog.Logger
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Router: router.DefaultOptions(), MaxBody: 64 << 20, BufferBytes: 64 << 10, MaxBufferedBytes: 32 << 20,
		MaxHeaderBytes: 32 << 10, MaxVoterEntries: router.DefaultVoterEntries, DefaultDeadline: 30 * time.Second, PeerTimeout: 500 * time.Millisecond,
		LeaseInterval: 500 * time.Millisecond, MinLeaseInterval: 20 * time.Millisecond, StatusPollInterval: 100 * time.Millisecond,
		Metrics: tally.NoopScope, Log: slog.Default(),
	}
}
