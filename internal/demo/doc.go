// Package demo runs an example deployment on a development cluster. It submits
// work of every kind, kills an entry node during the run, and compares the
// results that the callers received with the executions that the workers and
// runners recorded.
package demo
