package peer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Count holds the messages and bytes of one method. Bytes include the gRPC
// message headers and, for received messages, the HTTP/2 headers.
type Count struct {
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
}

// counter is a Count for concurrent updates that also reports to a metrics scope.
type counter struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Uint64

	scopeMessagesIn, scopeMessagesOut, scopeBytesIn, scopeBytesOut tally.Counter
}

func newCounter(scope tally.Scope, method string) *counter {
	s := scope.Tagged(map[string]string{"method": method})
	return &counter{
		scopeMessagesIn:  s.Counter("peer_messages_in"),
		scopeMessagesOut: s.Counter("peer_messages_out"),
		scopeBytesIn:     s.Counter("peer_bytes_in"),
		scopeBytesOut:    s.Counter("peer_bytes_out"),
	}
}

func (c *counter) addReceived(messages, bytes int) {
	c.messagesIn.Add(uint64(messages))
	c.bytesIn.Add(uint64(bytes))
	c.scopeMessagesIn.Inc(int64(messages))
	c.scopeBytesIn.Inc(int64(bytes))
}

func (c *counter) addSent(messages, bytes int) {
	c.messagesOut.Add(uint64(messages))
	c.bytesOut.Add(uint64(bytes))
	c.scopeMessagesOut.Inc(int64(messages))
	c.scopeBytesOut.Inc(int64(bytes))
}

func (c *counter) snapshot() Count {
	return Count{c.messagesIn.Load(), c.messagesOut.Load(), c.bytesIn.Load(), c.bytesOut.Load()}
}
