package peers

import (
	"context"
	"encoding/json"
	"net/http"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// noMemory is the reason why a message cannot be processed now.
const noMemory = "the messages of other nodes take too much memory"

// incoming is a request that is decoded only if there is memory to process it.
type incoming struct {
	request any
	conn    *inboundConn
	// end ends the processing; it is nil until the request is decoded.
	end func()
	// refused is set if there was no memory.
	refused bool
}

// newIncoming returns the request of a call. Calls on connections that are not counted
// are not bounded.
func newIncoming(ctx context.Context, request any) *incoming {
	in := &incoming{request: request}
	if p, ok := peer.FromContext(ctx); ok {
		if a, ok := p.Addr.(inboundAddr); ok {
			in.conn = a.conn
		}
	}
	return in
}

// unmarshal decodes the request if there is memory to process it. A refusal is no error:
// after an error the gRPC library sends that instead of the response.
func (in *incoming) unmarshal(data []byte) error {
	if in.conn != nil {
		if in.end = in.conn.process(len(data)); in.end == nil {
			in.refused = true
			return nil
		}
	}
	return json.Unmarshal(data, in.request)
}

// release ends the processing.
func (in *incoming) release() {
	if in.end != nil {
		in.end()
	}
}

// refusal returns the response to a call of which nothing was processed.
func refusal(method string) (any, error) {
	switch method {
	case forwardMethod:
		return &CallResponse{Status: http.StatusServiceUnavailable}, nil
	case appendMethod:
		return &AppendResponse{Verdict: verdict.DidNotRun, Reason: noMemory}, nil
	default:
		return nil, status.Error(codes.Unavailable, noMemory)
	}
}
