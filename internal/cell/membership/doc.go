// Package membership owns the table of the nodes of a cell, as each node keeps
// it, and decides which nodes follow the work topic. A node is a process that
// serves callers. Following costs it the network traffic, processor time and
// memory of all work of the cell, so only some nodes follow. The others forward
// calls to them, and their cost does not grow with the load of the cell.
//
// It must not read a clock or open a socket, and it needs no consensus: each
// node decides for itself, and one follower too many does no harm.
package membership
