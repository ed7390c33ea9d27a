package crash

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Unconfirmed is a possible crash of a host under a task, or under its gang.
type Unconfirmed struct {
	cell.UnconfirmedCrash
	// recordedAt is when this owner learned of it.
	recordedAt time.Duration
}
