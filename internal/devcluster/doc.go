// Package devcluster runs a cluster on loopback in one process: entry nodes,
// and stand-ins for the log, the host list, the workers and the runners over
// their real wire protocols.
package devcluster
