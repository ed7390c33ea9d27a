// Package admission decides which submissions are refused because they would end too late to
// be of use.
//
// The load it addresses: callers contend for a cell that has less capacity than they need, and
// one of them sends seven times its usual work. What is accepted then and ends later than three
// times its objective takes room, and its caller learns nothing in time.
//
// The owner publishes a bounded Summary of what waits. Every node that reads it decides by
// itself, with a Gate. The package reads no clock and does no input or output. It must never
// refuse what could still be of use: without a recent summary of the present owner, everything
// is accepted.
package admission
