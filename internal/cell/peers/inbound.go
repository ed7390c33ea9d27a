package peers

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

const (
	// maxMessageBytes bounds a message. The largest one is a forwarded call with a body of
	// 1 MiB, which takes 1.4 MiB in JSON.
	maxMessageBytes = 2 << 20
	// maxHeaderListBytes bounds the header of a call, which has about 200 bytes.
	maxHeaderListBytes = 16 << 10
	// maxStreams bounds the calls of one connection. A node that passes on 100 calls a
	// second has 300 open at a store that takes 3 s.
	maxStreams = 1024
	// handshakeTimeout limits the time until a new connection speaks HTTP/2.
	handshakeTimeout = 5 * time.Second
	// messageTimeout limits the receiving of a message, which arrives at once.
	messageTimeout = 15 * time.Second
	// frameOverheadBytes is the memory of a received frame apart from its payload, and
	// callBytes that of a call apart from its message.
	frameOverheadBytes = 256
	callBytes          = 8 << 10
	// messageFactor is the memory of a call that is being processed, in sizes of its
	// message: the received frames, the joined message, and the decoded request.
	messageFactor = 3
	// inboundLogInterval is the shortest time between two log lines about messages.
	inboundLogInterval = 10 * time.Second
)

// Inbound bounds what other nodes hold open on this one: their connections, and the
// memory of their messages.
type Inbound struct {
	Connections *connlimit.Limiter

	log       *slog.Logger
	sometimes rate.Sometimes
	// timeout limits the receiving of a message.
	timeout time.Duration

	mu     sync.Mutex
	budget *intake.Budget
	// receiving finds the connection of each message that is being received.
	receiving map[intake.ID]*inboundConn
}

// NewInbound returns a budget of limit bytes for the messages on connections.
func NewInbound(limit int64, connections *connlimit.Limiter, log *slog.Logger) *Inbound {
	return &Inbound{
		Connections: connections, log: log, sometimes: rate.Sometimes{Interval: inboundLogInterval}, timeout: messageTimeout,
		budget: intake.NewBudget(limit), receiving: map[intake.ID]*inboundConn{},
	}
}

// NewServer returns a gRPC server that calls h. It serves a listener of Listen.
func (i *Inbound) NewServer(h Handler) *grpc.Server {
	return NewServer(h, grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(handshakeTimeout))
}

// Listen returns a listener whose connections are counted.
func (i *Inbound) Listen(l net.Listener) net.Listener {
	return &inboundListener{Listener: l, inbound: i}
}

// Stats returns the state of the memory of messages.
func (i *Inbound) Stats() intake.BudgetStats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.budget.Stats()
}

// SetLimit changes the memory for messages.
func (i *Inbound) SetLimit(limit int64) {
	i.mu.Lock()
	closed := i.take(i.budget.SetLimit(limit))
	i.mu.Unlock()
	i.close(closed)
}

// open counts a message that begins to arrive.
func (i *Inbound) open(c *inboundConn) intake.ID {
	i.mu.Lock()
	defer i.mu.Unlock()
	id := i.budget.Open()
	i.receiving[id] = c
	return id
}

// grow counts bytes of a message that is being received, and closes the connections of
// the messages that give way to it.
func (i *Inbound) grow(id intake.ID, bytes int64) {
	i.mu.Lock()
	shed, _ := i.budget.Grow(id, bytes)
	closed := i.take(shed)
	i.mu.Unlock()
	i.close(closed)
}

// take returns the connections of messages that are no longer received. The caller holds
// i.mu.
func (i *Inbound) take(ids []intake.ID) (conns []*inboundConn) {
	for _, id := range ids {
		conns = append(conns, i.receiving[id])
		delete(i.receiving, id)
	}
	return conns
}

func (i *Inbound) close(conns []*inboundConn) {
	for _, c := range conns {
		_ = c.Close() // it may be closed already
	}
	if len(conns) > 0 {
		s := i.Stats()
		i.sometimes.Do(func() {
			i.log.Warn("A connection of another node was closed, since all messages take too much memory.", "receiving", s.Receiving, "processing", s.Processing,
				"messages", s.Messages, "limit", s.Limit, "shed", s.Shed)
		})
	}
}

// end ends the counting of messages.
func (i *Inbound) end(ids ...intake.ID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, id := range ids {
		i.budget.Close(id)
		delete(i.receiving, id)
	}
}

// process counts a complete message until end. It returns false if there is no memory to
// process it.
func (i *Inbound) process(bytes int) (intake.ID, bool) {
	i.mu.Lock()
	id := i.budget.Open()
	shed, ok := i.budget.Complete(id, callBytes+messageFactor*int64(bytes))
	closed, s := i.take(shed), i.budget.Stats()
	i.mu.Unlock()
	i.close(closed)
	if !ok {
		i.sometimes.Do(func() {
			i.log.Warn("A call of another node was refused, since all messages take too much memory.", "processing", s.Processing, "limit", s.Limit, "refused", s.Refused)
		})
	}
	return id, ok
}
