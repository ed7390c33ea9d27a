package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd; one in completesEvery sends its
	// whole body, the others stop a byte short of the end.
	crowdSize      = 400
	completesEvery = 10
	// largeBodyBytes is the largest body that callers may send by default.
	largeBodyBytes = 256 << 10
	// pieceBytes is the size of the pieces of a body that is sent piece by piece.
	pieceBytes = 16 << 10
	// pieceDelay is the wait between two pieces.
	pieceDelay = 5 * time.Millisecond
	// largeChunkBytes and smallChunkBytes are the sizes of chunks.
	largeChunkBytes = 64 << 10
	smallChunkBytes = 4
	// smallFrameBytes is the size of very small frames of a gRPC message.
	smallFrameBytes = 16
	// crowdTimeout bounds the sending of each client of a crowd.
	crowdTimeout = 15 * time.Second
	// settleTime is how long the process has for what the crowd has sent.
	settleTime = time.Second

	smallSubmission = `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":100}]}`
)

// crowd is a number of clients that send large bodies.
type crowd struct {
	// pieces returns what a client sends as its body, in parts. A client that does not
	// complete its body leaves out the last byte.
	pieces func(body []byte) [][]byte
	// chunked is set if the parts are sent with chunked encoding.
	chunked bool
	delay   time.Duration
}

func split(size int) func([]byte) [][]byte {
	return func(body []byte) (parts [][]byte) {
		for ; len(body) > size; body = body[size:] {
			parts = append(parts, body[:size])
		}
		return append(parts, body)
	}
}

var (
	bodiesAtOnce       = crowd{pieces: split(largeBodyBytes)}
	bodiesPieceByPiece = crowd{pieces: split(pieceBytes), delay: pieceDelay}
	largeChunks        = crowd{pieces: split(largeChunkBytes), chunked: true}
	smallChunks        = crowd{pieces: split(smallChunkBytes), chunked: true}
	smallFrames        = crowd{pieces: split(smallFrameBytes)}
)

// largeSubmission returns a valid submission of largeBodyBytes.
func largeSubmission() []byte {
	head, tail := `{"spec":"x","ignored":"`, `","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":100}]}`
	return []byte(head + strings.Repeat("x", largeBodyBytes-len(head)-len(tail)) + tail)
}

// wire returns what a client sends after its header, in parts.
func (c crowd) wire(complete bool) [][]byte {
	parts := c.pieces(largeSubmission())
	if !c.chunked {
		return shorten(parts, complete)
	}
	var out bytes.Buffer
	for _, p := range parts {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(p), p)
	}
	if complete {
		out.WriteString("0\r\n\r\n")
	} else {
		out.Truncate(out.Len() - len("x\r\n"))
	}
	return [][]byte{out.Bytes()}
}

// shorten leaves out the last byte of the parts of a body that is not complete.
func shorten(parts [][]byte, complete bool) [][]byte {
	if complete {
		return parts
	}
	last := len(parts) - 1
	return append(parts[:last:last], parts[last][:len(parts[last])-1])
}

// send sends the bodies of the crowd to an HTTP address. It returns once each client
// has sent what it sends, or cannot go on; the connections stay open until the end of
// the test.
func (c crowd) send(t *testing.T, address string) {
	t.Helper()
	encoding := fmt.Sprintf("Content-Length: %d", largeBodyBytes)
	if c.chunked {
		encoding = "Transfer-Encoding: chunked"
	}
	whole, short := c.wire(true), c.wire(false)
	var clients sync.WaitGroup
	for i := range crowdSize {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Logf("client %d is not connected: %v", i, err)
			continue
		}
		t.Cleanup(func() { _ = conn.Close() }) // the process may have closed it
		parts := short
		if i%completesEvery == 0 {
			parts = whole
		}
		header := fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n%s\r\n\r\n", i+100, encoding)
		clients.Go(func() { c.sendParts(conn, append([][]byte{[]byte(header)}, parts...)) })
	}
	clients.Wait()
}

func (c crowd) sendParts(conn net.Conn, parts [][]byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout)) // fails only on a closed connection
	for _, p := range parts {
		if _, err := conn.Write(p); err != nil {
			return
		}
		time.Sleep(c.delay)
	}
}

// check fails the test if the process has ended or has exceeded its limits, or if it
// does not accept a small submission while the crowd holds its connections.
func (p *limitedEntry) check(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	p.checkLimits(t)
	http.DefaultClient.CloseIdleConnections()
	waitUntil(t, "an ordinary submission is accepted after the crowd", func() bool {
		code, _ := p.callInTime("POST", fmt.Sprintf("%016x", 2), smallSubmission)
		return code == http.StatusOK
	})
	p.checkLimits(t)
}

// callInTime is call with the time that callers wait for a response. Each call has a
// connection of its own.
func (p *limitedEntry) callInTime(method, id, body string) (int, error) {
	r, err := http.NewRequest(method, "http://"+p.address+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Token key-a")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func (p *limitedEntry) checkLimits(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the process has ended: %s", p.cmd.ProcessState)
	default:
	}
	peak, files := p.peakMiB(t), p.files(t)
	t.Logf("peak of %.1f MiB, %d descriptors", peak, files)
	if peak >= limitedMemoryMiB {
		t.Errorf("peak resident memory of %.1f MiB, want less than %d", peak, limitedMemoryMiB)
	}
	if files >= maxLimitedFiles {
		t.Errorf("%d open descriptors, want less than %d", files, maxLimitedFiles)
	}
}

// testCallers sends a crowd to the address for callers.
func testCallers(t *testing.T, c crowd) {
	p := startLimitedEntry(t)
	c.send(t, p.address)
	p.check(t)
}

// testStatus sends a crowd to the address for operators.
func testStatus(t *testing.T, c crowd) {
	p := startLimitedEntry(t)
	c.send(t, p.status)
	p.check(t)
}

// The tests below guard against a process that exceeds its memory or its file
// descriptors, or that stops serving, while many clients hold open requests with large
// bodies, of which most stop a byte short of their end. They run one at a time.

func TestCallersSendBodiesAtOnce(t *testing.T) { testCallers(t, bodiesAtOnce) }

func TestCallersSendBodiesPieceByPiece(t *testing.T) { testCallers(t, bodiesPieceByPiece) }

func TestCallersSendBodiesInLargeChunks(t *testing.T) { testCallers(t, largeChunks) }

func TestCallersSendBodiesInSmallChunks(t *testing.T) { testCallers(t, smallChunks) }

func TestStatusGetsBodiesAtOnce(t *testing.T) { testStatus(t, bodiesAtOnce) }

func TestStatusGetsBodiesPieceByPiece(t *testing.T) { testStatus(t, bodiesPieceByPiece) }

func TestStatusGetsBodiesInLargeChunks(t *testing.T) { testStatus(t, largeChunks) }

func TestStatusGetsBodiesInSmallChunks(t *testing.T) { testStatus(t, smallChunks) }

func TestPeersSendMessagesAtOnce(t *testing.T) { testPeers(t, bodiesAtOnce) }

func TestPeersSendMessagesPieceByPiece(t *testing.T) { testPeers(t, bodiesPieceByPiece) }

func TestPeersSendMessagesInLargeFrames(t *testing.T) { testPeers(t, largeChunks) }

func TestPeersSendMessagesInSmallFrames(t *testing.T) { testPeers(t, smallFrames) }
