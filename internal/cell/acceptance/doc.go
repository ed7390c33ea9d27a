// Package acceptance decides how the records of callers reach the log: through which
// node they are appended, how long an answer is waited for before another way is
// tried as well, and which calls are refused at once. It is driven by how long the
// store takes to answer at present.
//
// The load pattern behind it is a store that serves the appends of a partition one
// after the other and takes 50 times as long for each: ten appends a second are then
// all there is, whoever sends them, and what waits for more than two seconds is
// refused. Many nodes that append small batches, or append one record twice, fill
// that queue and keep it full; one node that appends large batches does not.
//
// It opens no socket, reads no clock and starts no goroutine.
package acceptance
