// Package membership keeps what each entry process knows of the others, and
// decides which of them follow the work topic. Following costs a process the
// bytes, processor time and memory of all work of the cell, so only some do:
// the others pass calls on to them, and what they cost does not grow with the
// load of the cell.
//
// It reads no clock, opens no socket and takes part in no agreement: each
// process decides for itself, and one follower too many does no harm.
package membership
