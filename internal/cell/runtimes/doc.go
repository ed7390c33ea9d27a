// Package runtimes estimates how long a run of a task takes, and how long a run that has
// begun still takes, from the runs that have ended. It addresses cells that are nearly full
// and whose callers' estimates are far off: planned capacity, backfill and copies of slow runs
// depend on the ends of runs. It reads no clock, opens no socket and starts no goroutine.
//
// For each queue and step, the model holds the last ended runs in two histograms: of the time
// on a host of normal speed, and of its ratio to the submitter's estimate. It uses the one
// that predicts better.
package runtimes
