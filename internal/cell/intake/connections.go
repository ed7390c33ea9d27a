package intake

import "container/list"

// Connections bounds the open connections. A connection waits while it is idle or its
// next message is incomplete, and is in use while a message of it is being processed. At
// the bound the one that has waited for the longest time gives way to a new one.
type Connections struct {
	limit  int
	lastID ID
	// open holds every open connection: its element in waiting, or nil while it is in
	// use. waiting holds the IDs of those that wait, the longest wait first.
	open    map[ID]*list.Element
	waiting *list.List
	stats   ConnectionsStats
}

// NewConnections returns a bound of limit connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, open: map[ID]*list.Element{}, waiting: list.New()}
}

// Open adds a new connection, which waits. If it exceeds the bound, evicted is the
// connection that gives way to it, which is no longer counted. It returns false if all
// others are in use; the new connection is not counted then, and has to be closed.
func (c *Connections) Open() (id, evicted ID, ok bool) {
	if len(c.open) >= c.limit {
		front := c.waiting.Front()
		if front == nil {
			c.stats.Refused++
			return 0, 0, false
		}
		evicted = front.Value.(ID)
		c.Close(evicted)
		c.stats.Evicted++
	}
	c.lastID++
	c.open[c.lastID] = c.waiting.PushBack(c.lastID)
	return c.lastID, evicted, true
}

// Wait says that a connection waits from now on. It has no effect on one that is not
// counted.
func (c *Connections) Wait(id ID) {
	e, ok := c.open[id]
	if !ok {
		return
	}
	if e != nil {
		c.waiting.MoveToBack(e)
		return
	}
	c.open[id] = c.waiting.PushBack(id)
}

// Use says that a message of the connection is being processed. It returns false if the
// connection is not counted, since it has given way.
func (c *Connections) Use(id ID) bool {
	e, ok := c.open[id]
	if e != nil {
		c.waiting.Remove(e)
		c.open[id] = nil
	}
	return ok
}

// Close removes a connection.
func (c *Connections) Close(id ID) {
	if e := c.open[id]; e != nil {
		c.waiting.Remove(e)
	}
	delete(c.open, id)
}

// Stats returns the state of the connections.
func (c *Connections) Stats() ConnectionsStats {
	s := c.stats
	s.Limit, s.Open, s.Waiting = c.limit, len(c.open), c.waiting.Len()
	return s
}
