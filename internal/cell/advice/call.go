package advice

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Call is a call to the advice service on behalf of an owner of the cell.
type Call struct {
	// Token is the fencing token of the owner.
	Token int64
	Group cell.GroupID
	Hosts []string
	// Duration is how long the service takes for the call.
	Duration time.Duration
}

// Refusal is why a call was not sent to the service.
type Refusal string

const (
	// NotRefused means that the call was sent.
	NotRefused Refusal = ""
	// RefusedBusy means that the service would answer after the caller's deadline.
	RefusedBusy Refusal = "busy"
	// RefusedStale means that an owner with a higher fencing token has called.
	RefusedStale Refusal = "stale"
)

// ErrStale is the error of a call that was not sent to the service, since an owner with
// a higher fencing token has called.
var ErrStale = eris.New("an owner with a higher fencing token has called the advice service")

// BusyError is the error of a call that was not sent to the service, since it would
// have been answered after the caller's deadline.
type BusyError struct {
	// FreeIn is when the calls before this one will have been answered.
	FreeIn time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return "the advice service is busy with earlier calls of this machine for " + e.FreeIn.String()
}
