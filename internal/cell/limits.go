package cell

import "time"

const (
	// MaxAmount bounds each resource of a host and of a task: a million cores, a pebibyte
	// of memory. Sums over all hosts or over all tasks of a submission stay far below the
	// largest integer.
	MaxAmount = 1_000_000_000
	// MaxSteps bounds the steps of a submission, and MaxTasks its tasks over all steps and
	// occurrences.
	MaxSteps = 1000
	MaxTasks = 100_000
	// MaxTeamLimit bounds each limit of a team, which may be that of many hosts together.
	MaxTeamLimit = 1_000_000 * MaxAmount
	// DefaultBodyBytes limits a request body while the desired state sets no limit.
	DefaultBodyBytes = 256 << 10
	// MaxBodyBytes bounds a request body whatever the desired state allows.
	MaxBodyBytes = 1 << 20
	// MaxStoredBytes bounds a record of the store: the length of its key, the key and the value.
	MaxStoredBytes = 262_144
	// TicketExpiryMargin is the part of the validity of an advice ticket that is reserved
	// for the delivery of the start order.
	TicketExpiryMargin = 150 * time.Millisecond
	// Limits for the connections of callers. The limits in the desired state do not
	// change them.
	HeaderTimeout = 3 * time.Second
	IdleTimeout   = 15 * time.Second
	HeaderBytes   = 16 << 10
)
