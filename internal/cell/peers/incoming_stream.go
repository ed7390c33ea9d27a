package peers

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

// incomingStream is a message that is being received on a connection.
type incomingStream struct {
	id intake.ID
	// since is when its header began to arrive.
	since time.Time
}
