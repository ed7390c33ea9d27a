package main

import (
	"context"
	bigendian "encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// forwardPath is the gRPC method by which nodes pass on the calls of callers.
const forwardPath = "/medlarpulley.cell.v1.Peer/Forward"

// testPeers sends a crowd to the address for other nodes. Each client sends one gRPC
// message over a connection of its own, each part in a frame of its own.
func testPeers(t *testing.T, c crowd) {
	p := startLimitedEntry(t)
	c.sendMessages(t, p.peers)
	p.check(t)
}

func (c crowd) sendMessages(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	body := largeMessage()
	whole, short := c.pieces(body), shorten(c.pieces(body), false)
	prefix := bigendian.BigEndian.AppendUint32([]byte{0}, uint32(len(body)))
	var clients sync.WaitGroup
	for i := range crowdSize {
		parts := short
		if i%completesEvery == 0 {
			parts = whole
		}
		r := &messageBody{ctx: ctx, parts: append([][]byte{prefix}, parts...), delay: c.delay, complete: i%completesEvery == 0, sent: make(chan struct{})}
		failed := make(chan struct{})
		go func() {
			defer close(failed)
			sendMessage(ctx, address, r)
		}()
		clients.Go(func() {
			select {
			case <-r.sent:
			case <-failed:
			case <-time.After(crowdTimeout):
			}
		})
	}
	clients.Wait()
}

// largeMessage returns a forwarded call of largeBodyBytes.
func largeMessage() []byte {
	call := fmt.Sprintf(`{"method":"GET","host":"h.example","path":"/q/%016x","authorization":"Token key-a","version":1}`, 1)
	return fmt.Appendf(nil, "%-*s", largeBodyBytes, call)
}

// sendMessage makes a gRPC call over a connection of its own. It returns when the call
// has ended; the outcome does not matter.
func sendMessage(ctx context.Context, address string, body *messageBody) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols, MaxIdleConnsPerHost: 1}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+forwardPath, body)
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/grpc+json")
	r.Header.Set("Te", "trailers")
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the end of the call is all that matters
	_ = resp.Body.Close()
}

// messageBody is the body of a call that is sent in parts. One that is not complete
// stays open until ctx ends.
type messageBody struct {
	ctx      context.Context
	parts    [][]byte
	delay    time.Duration
	complete bool
	// sent is closed once all parts have been sent.
	sent chan struct{}
	once sync.Once
}

// Read returns the next part, so that each one is sent in a frame of its own.
func (b *messageBody) Read(data []byte) (int, error) {
	if len(b.parts) == 0 {
		b.once.Do(func() { close(b.sent) })
		if !b.complete {
			<-b.ctx.Done()
		}
		return 0, io.EOF
	}
	n := copy(data, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
		time.Sleep(b.delay)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *messageBody) Close() error { return nil }
