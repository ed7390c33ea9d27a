package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
)

// recordingPeer answers the first forwarded call with a broken response, and notes what each call
// said.
type recordingPeer struct {
	*fakePeer
	mu   *sync.Mutex
	said *[]bool
}

func (p recordingPeer) Forward(_ context.Context, r *CallRequest) (*CallResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.said = append(*p.said, r.MayBeStored)
	if len(*p.said) == 1 {
		return &CallResponse{}, nil
	}
	return &CallResponse{Status: 200}, nil
}

// Guards against a submission that the second of two nodes refuses, since it does not know that
// the first one may have stored it.
func TestSecondNodeIsToldOfTheFirstAttempt(t *testing.T) {
	var mu sync.Mutex
	var said []bool
	pool := NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", newFakePeer())
	t.Cleanup(pool.Close)
	others := map[string]Peer{}
	for _, name := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(recordingPeer{newFakePeer(), &mu, &said})
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Stop)
		others[name] = Peer{Address: l.Addr().String(), Follows: true}
	}
	pool.SetPeers(others)
	if _, err := pool.Forward(t.Context(), &CallRequest{Method: "POST"}); err != nil {
		t.Fatal(err)
	}
	if len(said) != 2 || said[0] || !said[1] {
		t.Errorf("the nodes were told %v", said)
	}
}

// Guards against messages of earlier versions that are taken for repetitions.
func TestMayBeStoredIsAbsentInEarlierVersions(t *testing.T) {
	var r CallRequest
	if err := json.Unmarshal([]byte(`{"method":"POST","host":"h","path":"/q/x","version":3}`), &r); err != nil || r.MayBeStored {
		t.Errorf("%+v, %v", r, err)
	}
	data, err := json.Marshal(CallRequest{Method: "POST"})
	if err != nil || string(data) != `{"method":"POST","host":"","path":"","version":0}` {
		t.Errorf("%s, %v", data, err)
	}
}
