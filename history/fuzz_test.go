package history

import (
	"bytes"
	"testing"
	"time"
)

// FuzzParseFile checks that parsing arbitrary bytes does not panic, and that the bytes
// reported as intact parse again without damage.
func FuzzParseFile(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(c.close)
	original, err := c.appendFrame([]byte(magic), []Event{{At: time.Unix(1000, 0).UTC(), Observer: "n-0", Controller: "n-1", To: "failed"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(original)
	f.Add(original[:len(original)-1])
	f.Add([]byte(magic))
	f.Add(append(bytes.Clone(original), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, intactBytes, damage := c.parse(data)
		if intactBytes < 0 || intactBytes > len(data) || damage == nil && intactBytes != len(data) {
			t.Fatalf("%d of %d bytes are reported as intact, damage %v", intactBytes, len(data), damage)
		}
		reparsed, _, damage := c.parse(data[:intactBytes])
		if damage != nil || len(reparsed) != len(events) {
			t.Errorf("%d events, but %d after parsing the intact bytes again, damage %v", len(events), len(reparsed), damage)
		}
	})
}
