// Package membership owns the table of the entry processes of a cell, as each
// process keeps it, and decides which processes follow the work topic. Following
// costs a process the network traffic, processor time and memory of all work of
// the cell, so only some processes follow. The others forward calls to them, and
// their cost does not grow with the load of the cell.
//
// It must not read a clock or open a socket, and it needs no consensus: each
// process decides for itself, and one follower too many does no harm.
package membership
