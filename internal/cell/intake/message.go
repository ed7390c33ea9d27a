package intake

// message is a message that is being received, with the memory that it takes.
type message struct {
	id    ID
	bytes int64
}
