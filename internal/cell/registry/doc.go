// Package registry holds the state that every node builds from the work topic:
// submissions and their progress, the owner of the cell and the hosts that the
// owner uses. It applies records in order and makes no decisions.
//
// Every record carries the complete value of its key, so that applying a record
// twice leaves the same state as applying it once. An ownership or progress record
// that is older than the one applied is ignored.
package registry
