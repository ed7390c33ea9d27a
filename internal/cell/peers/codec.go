package peers

import (
	"encoding/json"

	"google.golang.org/grpc/encoding"
)

// codecName is the content subtype of a gRPC call that selects codec.
const codecName = "json"

// codec encodes gRPC messages as JSON.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }
func (codec) Name() string                  { return codecName }

func (codec) Unmarshal(data []byte, v any) error {
	if in, ok := v.(*incoming); ok {
		return in.unmarshal(data)
	}
	return json.Unmarshal(data, v)
}

func init() { encoding.RegisterCodec(codec{}) }
