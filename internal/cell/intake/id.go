package intake

// ID identifies a message or a connection. Later ones have higher IDs.
type ID uint64
