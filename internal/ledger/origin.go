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

// From returns o. It makes every type that embeds Origin an Event.
func (o Origin) From() Origin { return o }
