// Package devcluster runs a cluster in one process on the loopback interface. It
// starts entry nodes and stand-ins for the log, the host list, the workers and
// the runners. All of them communicate over their real wire protocols.
package devcluster
