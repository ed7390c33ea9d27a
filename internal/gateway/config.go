package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

// Config holds the parameters of a Server.
type Config struct {
	// OperatorToken is the bearer token of operators.
	OperatorToken string
	// OperatorsOpen serves operator routes without a token; for development only.
	OperatorsOpen bool
	// MaxJobBytes, MaxBatchBytes and MaxPublicationBytes bound the
	// size of request bodies.
	MaxJobBytes, MaxBatchBytes, MaxPublicationBytes int64
	// MaxBatchJobs bounds the number of jobs in a batch.
	MaxBatchJobs int
	// MaxWatches bounds the total number of open watches and waiting submissions.
	MaxWatches int
	// HeartbeatInterval is the interval between heartbeats on a watch; 10 s if
	// zero.
	HeartbeatInterval time.Duration
	// BodyTimeout bounds the time to read a request body; 30 s if zero.
	BodyTimeout time.Duration
	// DefaultDeadline bounds the duration of an operation that neither waits for
	// a job to end nor names a deadline; 30 s if zero.
	DefaultDeadline time.Duration
	// Metrics serves /metrics; if nil, the path is not found.
	Metrics http.Handler
	// Upstreams serves /v1/upstreams/; if nil, the path is not found. The
	// handler must authenticate requests and set the verdict header itself; the
	// header is may-have-run until it does.
	Upstreams http.Handler
	Log       *slog.Logger
}

const (
	defaultDeadline          = 30 * time.Second
	defaultHeartbeatInterval = 10 * time.Second
	defaultBodyTimeout       = 30 * time.Second
	// watchWriteTimeout bounds one write to a watcher that does not read.
	watchWriteTimeout = 10 * time.Second
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)
