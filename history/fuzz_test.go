package history

import (
	"bytes"
	"testing"
	"time"
)

// FuzzParseFile: whatever a file holds, reading it does not panic, and what it counts as
// sound is read again without damage.
func FuzzParseFile(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(c.close)
	whole, err := c.appendFrame([]byte(magic), []Event{{At: time.Unix(1000, 0).UTC(), Observer: "n-0", Controller: "n-1", To: "failed"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte(magic))
	f.Add(append(bytes.Clone(whole), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, intact, damage := c.parse(data)
		if intact < 0 || intact > len(data) || damage == nil && intact != len(data) {
			t.Fatalf("%d of %d bytes count as sound, damage %v", intact, len(data), damage)
		}
		again, _, damage := c.parse(data[:intact])
		if damage != nil || len(again) != len(events) {
			t.Errorf("%d events, and %d of the sound part, damage %v", len(events), len(again), damage)
		}
	})
}
