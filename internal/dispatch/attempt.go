package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// attemptState is the owner's knowledge about an attempt on a host.
type attemptState uint8

const (
	// attemptSending means that the start is queued, or sent and not yet
	// answered.
	attemptSending attemptState = iota
	// attemptRunning means that the worker confirmed the attempt.
	attemptRunning
	// attemptStartUnknown means that the start was sent, but it is not known
	// whether the worker carried it out.
	attemptStartUnknown
)

// attempt is a task attempt that runs or may run on a host.
type attempt struct {
	id    work.AttemptID
	size  resource.Vector
	lease time.Duration
	state attemptState
	// sentStamp and sentIncarnation are the worker's stamp and incarnation that
	// the start request echoed.
	sentStamp       time.Duration
	sentIncarnation uint64
	startedAt       time.Duration
	// pendingStart is kept until the worker has answered, so that a start that
	// was refused because its stamp was too old can be sent again at once.
	pendingStart *scheduler.StartTask
	resends      int
}
