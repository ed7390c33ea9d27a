package intake

import "container/list"

const (
	// smallDivisor is the part of the limit up to which a message is small.
	smallDivisor = 64
	// smallReserveDivisor is the part of the limit that large messages which are being
	// processed leave to others, and receivingReserveDivisor the part that small ones leave
	// to those which are being received.
	smallReserveDivisor     = 4
	receivingReserveDivisor = 8
)

// Budget bounds the bytes of all messages of a process. The messages that are being
// received give way to others, the one that has been arriving for the longest time
// first: a message of an ordinary client arrives at once, so it is seldom the oldest.
type Budget struct {
	limit  int64
	lastID ID
	// received is the bytes of all messages that are being received, processing that of
	// all messages that are being processed.
	received, processing int64
	// receiving holds the *message values that are being received, the oldest first;
	// messages finds them. processed holds the bytes of those that are being processed.
	receiving *list.List
	messages  map[ID]*list.Element
	processed map[ID]int64
	stats     BudgetStats
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, receiving: list.New(), messages: map[ID]*list.Element{}, processed: map[ID]int64{}}
}

// Open returns the ID of a message that begins to arrive.
func (b *Budget) Open() ID {
	b.lastID++
	b.messages[b.lastID] = b.receiving.PushBack(&message{id: b.lastID})
	return b.lastID
}

// Grow adds bytes to a message that is being received. It returns the messages that
// give way to it, which are closed; the message may be one of them. It returns false
// if the message is closed.
func (b *Budget) Grow(id ID, bytes int64) (shed []ID, ok bool) {
	e, ok := b.messages[id]
	if !ok {
		return nil, false
	}
	e.Value.(*message).bytes += bytes
	b.received += bytes
	for b.received+b.processing > b.limit && b.messages[id] != nil && !b.alone(id) {
		shed = append(shed, b.shedOldest())
	}
	_, ok = b.messages[id]
	return shed, ok
}

// SetLimit changes the limit. It returns the messages that give way, which are closed.
func (b *Budget) SetLimit(limit int64) (shed []ID) {
	b.limit = limit
	for b.received > 0 && b.received+b.processing > b.limit && !b.alone(b.oldest().id) {
		shed = append(shed, b.shedOldest())
	}
	return shed
}

// alone reports whether a message is the only one that takes memory.
func (b *Budget) alone(id ID) bool {
	return b.processing == 0 && b.received == b.messages[id].Value.(*message).bytes
}

// shedOldest closes the oldest message that takes memory. There is one.
func (b *Budget) shedOldest() ID {
	id := b.oldest().id
	b.Close(id)
	b.stats.Shed++
	return id
}

// oldest returns the oldest message that takes memory and is being received. There is
// one.
func (b *Budget) oldest() *message {
	e := b.receiving.Front()
	for e.Value.(*message).bytes == 0 {
		e = e.Next()
	}
	return e.Value.(*message)
}

// Complete ends the receiving of a message. From then on it takes bytes, and is not
// shed. It returns the messages that give way to it, which are closed. It returns false
// if the message is closed, or if there is no memory even without the messages that are
// being received; the message is closed then, and no other one gives way.
func (b *Budget) Complete(id ID, bytes int64) (shed []ID, ok bool) {
	e, ok := b.messages[id]
	if !ok {
		return nil, false
	}
	b.removeReceiving(e)
	if b.processing > 0 && b.processing+bytes > b.processingLimit(bytes) {
		b.stats.Refused++
		return nil, false
	}
	b.processed[id] = bytes
	b.processing += bytes
	for b.received+b.processing > b.limit && b.received > 0 {
		shed = append(shed, b.shedOldest())
	}
	return shed, true
}

// processingLimit returns how much the messages that are being processed may take
// together with a further one of that many bytes. Large ones leave a part to small ones,
// so that ordinary clients are served while others fill what is left. All leave a part to
// those that are being received: a message that arrives at once is then refused when it
// is complete, and its client gets the response.
func (b *Budget) processingLimit(bytes int64) int64 {
	if bytes <= b.limit/smallDivisor {
		return b.limit - b.limit/receivingReserveDivisor
	}
	return b.limit - b.limit/smallReserveDivisor
}

// Close ends a message. A message that is closed stays so.
func (b *Budget) Close(id ID) {
	if e, ok := b.messages[id]; ok {
		b.removeReceiving(e)
	}
	b.processing -= b.processed[id]
	delete(b.processed, id)
}

func (b *Budget) removeReceiving(e *list.Element) {
	m := e.Value.(*message)
	b.received -= m.bytes
	b.receiving.Remove(e)
	delete(b.messages, m.id)
}

// Stats returns the state of the budget.
func (b *Budget) Stats() BudgetStats {
	s := b.stats
	s.Limit, s.Receiving, s.Processing = b.limit, b.received, b.processing
	s.Messages = len(b.messages) + len(b.processed)
	return s
}
