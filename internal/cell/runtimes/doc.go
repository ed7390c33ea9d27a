// Package runtimes estimates how long a run of a task takes, and how long a run that has
// begun still takes. It reads no clock, opens no socket and starts no goroutine.
package runtimes
