package admission

import "time"

// Backlog is the least time that new work of one team and queue waits, as the owner knows it.
type Backlog struct {
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// OwnMs is how long the work of the team that comes before it keeps the room under the
	// team's limit in use, CellMs how long the work of the queue that comes before it keeps all
	// hosts of the service in use, in milliseconds; zero while there is room.
	OwnMs  int64 `json:"own,omitempty"`
	CellMs int64 `json:"cell,omitempty"`
}

// wait returns the longer of the two waits, and whether it is the team's own.
func (b *Backlog) wait() (d time.Duration, own bool) {
	return time.Duration(max(b.OwnMs, b.CellMs)) * time.Millisecond, b.OwnMs >= b.CellMs
}
