package peer

import (
	"encoding/json"

	"google.golang.org/grpc/encoding"

	"ravenport/wire"
)

// codec encodes gRPC messages as JSON, like all other interfaces of ravenport.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return wire.Decode(data, v) }

func init() { encoding.RegisterCodec(codec{}) }
