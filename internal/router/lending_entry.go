package router

import "time"

// borrower is one incarnation of a node that borrows slots.
type borrower struct {
	node        string
	incarnation uint64
}

// lendingEntry is what one borrower may use of one runner.
type lendingEntry struct {
	sequence uint64
	// bound is the largest number of slots that the borrower can have in use.
	bound int
	want  int
	// until is the time by which its lease has certainly ended.
	until time.Duration
	// orphans are the requests listed by the first status after until.
	orphans orphanSet
}
