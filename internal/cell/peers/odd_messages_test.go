package peers

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// oddPeer answers with messages that lack fields, as a node of another version may.
type oddPeer struct {
	*fakePeer
	response *CallResponse
	advice   AdviseResponse
}

func (p oddPeer) Advise(context.Context, *AdviseRequest) (*AdviseResponse, error) {
	return &p.advice, nil
}

func (p oddPeer) Forward(context.Context, *CallRequest) (*CallResponse, error) {
	return p.response, nil
}

func newOddPool(t *testing.T, p oddPeer) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(p)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", newFakePeer())
	pool.SetPeers(map[string]Peer{"odd": {Address: l.Addr().String(), Follows: true}})
	t.Cleanup(pool.Close)
	return pool
}

// Guards against a response without a valid status that is passed on to the caller, where
// it ends the call with a panic.
func TestForwardRefusesOddStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 199, 600, 1 << 40} {
		pool := newOddPool(t, oddPeer{fakePeer: newFakePeer(), response: &CallResponse{Status: status}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		response, err := pool.Forward(ctx, &CallRequest{Method: "POST"})
		cancel()
		if err == nil || verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("status %d: response %v, error %v", status, response, err)
		}
	}
}

// Guards against an answer of a node without tickets that denies every host for good.
func TestAskRefusesAnswerWithoutTickets(t *testing.T) {
	pool := newOddPool(t, oddPeer{fakePeer: newFakePeer()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	e := pool.remote("odd")
	if r, err := e.advise(ctx, &AdviseRequest{Group: cell.GroupID{Submission: "x"}, Hosts: []string{"a"}}); err == nil {
		t.Errorf("accepted as %v", r)
	}
}

// Guards against a refusal of another node that is taken for a failure: the owner would not
// learn of its successor, and a busy node would count as one that fails.
func TestRefusalOfAnotherNodeIsUnderstood(t *testing.T) {
	call := advice.Call{Group: cell.GroupID{Submission: "x"}, Hosts: []string{"a"}}
	ask := func(r AdviseResponse) error {
		pool := newOddPool(t, oddPeer{fakePeer: newFakePeer(), advice: r})
		_, err := pool.remote("odd").askInTime(t.Context(), call)
		return err
	}
	if err := ask(AdviseResponse{Refusal: advice.RefusedStale}); !errors.Is(err, advice.ErrStale) {
		t.Errorf("the error of a stale call is %v", err)
	}
	var busy *advice.BusyError
	if err := ask(AdviseResponse{Refusal: advice.RefusedBusy, FreeIn: time.Second}); !errors.As(err, &busy) || busy.FreeIn != time.Second {
		t.Errorf("the error of a call to a busy node is %v", err)
	}
}

// Guards against a message that ends the process of the node that decodes it.
func FuzzCodec(f *testing.F) {
	f.Add([]byte(`{"group":{"Submission":"x","Occurrence":-1},"hosts":[null],"status":1e400,"verdict":"x","body":"%%","token":9223372036854775808}`))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, message := range []any{
			&AdviseRequest{}, &AdviseResponse{}, &CallRequest{}, &CallResponse{}, &TakeoverRequest{}, &OwnerStatusRequest{}, &AppendRequest{}, &AppendResponse{},
		} {
			if (codec{}).Unmarshal(data, message) == nil {
				_, _ = (codec{}).Marshal(message)
			}
		}
	})
}
