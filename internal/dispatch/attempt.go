package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// attemptState is what the owner knows about an attempt on a host.
type attemptState uint8

const (
	// attemptSending is queued or on its way to the worker.
	attemptSending attemptState = iota
	// attemptRunning was confirmed by the worker.
	attemptRunning
	// attemptUnknown was sent and not answered.
	attemptUnknown
)

// attempt is one attempt that runs or may run on a host.
type attempt struct {
	id    work.AttemptID
	size  resource.Vector
	lease time.Duration
	state attemptState
	// sentStamp and sentIncarnation are what the start echoed.
	sentStamp       time.Duration
	sentIncarnation uint64
	began           time.Duration
	// start is kept until the worker has answered, so that a start that was
	// refused because of an old stamp can be sent again at once.
	start  *scheduler.StartTask
	resent int
}
