// Package schedule decides for one cell which task starts on which host, which
// run is stopped and for which hosts advice is requested. It is built for mixed
// workloads on one full cell: many short urgent tasks, gangs of several large
// tasks that need capacity reserved for them, and long-running sets of small
// tasks that use the remaining capacity.
//
// It is deterministic: it takes clock values and typed events, and returns a
// plan of orders. It must not open a socket, read a clock or start a goroutine.
// The caller serializes the calls.
package schedule
