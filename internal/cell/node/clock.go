package node

import "time"

// wall returns the time of day since 1970. It may jump.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }
