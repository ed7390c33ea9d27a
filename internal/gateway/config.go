package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

// Config holds what a Server needs besides its Backend.
type Config struct {
	// OperatorToken is what operators send as a bearer token.
	OperatorToken string
	// OperatorsOpen lets operators in without a token; for development only.
	OperatorsOpen bool
	// MaxJobBytes, MaxBatchBytes and MaxPublicationBytes bound request bodies.
	MaxJobBytes, MaxBatchBytes, MaxPublicationBytes int64
	// MaxBatchJobs bounds the jobs of a batch.
	MaxBatchJobs int
	// MaxWatches bounds the open watches and waiting submissions.
	MaxWatches int
	// Heartbeat is the longest silence of a watch; 10 s if zero.
	Heartbeat time.Duration
	// BodyTimeout bounds the time in which a body must arrive; 30 s if zero.
	BodyTimeout time.Duration
	// DefaultDeadline bounds an operation that does not wait for work and
	// names no deadline; 30 s if zero.
	DefaultDeadline time.Duration
	// Metrics serves /metrics; not found if nil.
	Metrics http.Handler
	// Upstreams serves /v1/upstreams/; not found if nil. It authenticates on
	// its own and sets the verdict header; until it does, the header says
	// may-have-run.
	Upstreams http.Handler
	Log       *slog.Logger
}

const (
	defaultDeadline    = 30 * time.Second
	defaultHeartbeat   = 10 * time.Second
	defaultBodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a watcher that does not read.
	writeTimeout = 10 * time.Second
	// headerTimeout bounds the head of a request.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)
