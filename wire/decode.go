package wire

import json "github.com/go-json-experiment/json/v1"

// Decode reads JSON as encoding/json does. It uses the mirror of the standard
// library's coming version, with the rules of the present one: reports are most
// of what a controller reads, and it takes about half the processor and a fifth
// of the allocations for them.
func Decode(data []byte, v any) error { return json.Unmarshal(data, v) }
