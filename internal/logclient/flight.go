package logclient

import "context"

// flight is an append in progress.
type flight struct {
	cancel context.CancelFunc
	// done is closed when the append has returned.
	done chan struct{}
}
