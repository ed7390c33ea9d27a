// Package node wires one entry process of a cell: it follows the log, serves
// callers, claims the ownership of the cell when it is free, and stops in good
// order. It decides only when to claim.
package node
