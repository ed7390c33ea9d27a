// Package logsvc is a stand-in for the platform's log service, with faults on
// command and a record of every append. It can be used in process, as a
// logsvc.Log, or over HTTP.
package logsvc
