// Package desiredcheck finds what is wrong, without effect or contradictory in a desired
// state before operators publish it, and what differs from the one in force.
//
// It reads no clock, opens no file and starts no goroutine. It knows no names of the
// document; package platform has them.
package desiredcheck
