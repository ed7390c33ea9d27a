// Package demo runs an example deployment on a development cluster, submits
// work of every kind, kills an entry node on the way, and compares what the
// callers were told with what the workers and runners recorded.
package demo
