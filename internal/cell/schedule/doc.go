// Package schedule decides for a whole cell which task starts on which host,
// which run is stopped and which advice is asked for. It answers the load of
// unlike workloads on one full cell: many short urgent tasks, gangs of several
// wide tasks that need room gathered for them, and long sets of small tasks
// that fill what is left.
//
// It is deterministic: it takes clock values and typed events, and returns a
// plan of orders. It opens no socket, reads no clock and starts no goroutine.
// Its caller serializes the calls.
package schedule
