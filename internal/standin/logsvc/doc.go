// Package logsvc simulates the platform's log service for tests and
// measurements. It simulates faults on command, but none that was not set, and can
// keep the records of all appends. It can be used in process, as a logsvc.Log, or
// over HTTP.
package logsvc
