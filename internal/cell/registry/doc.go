// Package registry is the state that every node builds from the work topic:
// submissions and their progress, the owner of the cell, the nodes and the
// hosts that the owner uses. It applies records in order and decides nothing.
//
// Every record carries the whole value of its key, so that applying one twice,
// or after a newer page, changes nothing.
package registry
