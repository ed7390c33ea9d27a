// Package gangroom decides about how many hosts the advice service is asked for a gang in a
// busy cell, and how many members of gangs a single task displaces.
//
// It addresses gangs of 20 members on a cell that is 89 % full. They need seven hosts that are
// free together, and find them rarely among the twelve that one short call approves.
// It reads no clock, opens no socket and starts no goroutine.
package gangroom
