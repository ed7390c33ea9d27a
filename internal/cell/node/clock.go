package node

import "time"

// wallClock returns the wall-clock time since the Unix epoch. It may jump.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
