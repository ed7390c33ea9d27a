package ledger

// Origin identifies the log record that caused an event and the node that sent
// it.
type Origin struct {
	Offset      uint64
	Node        string
	Incarnation uint64
	Sequence    uint64
	// Index is the position of the record in its batch, or -1 if the event
	// concerns the whole batch.
	Index int
}

// RecordOrigin implements Event, so every type that embeds Origin is an Event.
func (o Origin) RecordOrigin() Origin { return o }
