package cell

import "time"

// Clock measures the time since an arbitrary start. It keeps running while the
// machine is suspended.
type Clock interface {
	Now() time.Duration
}
