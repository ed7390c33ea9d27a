package ledger

// Origin tells which record of which batch an event comes from.
type Origin struct {
	Offset      uint64
	Node        string
	Incarnation uint64
	Sequence    uint64
	// Index is the position of the record in its batch, or -1 if the event
	// concerns the batch.
	Index int
}

// From returns o, so that a type that embeds Origin is an Event.
func (o Origin) From() Origin { return o }
