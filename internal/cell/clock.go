package cell

import "time"

// Clock measures time since an arbitrary start and goes on while the machine
// is suspended.
type Clock interface {
	Now() time.Duration
}
