package peer

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"ravenport/leader"
)

// This version and the previous one read each other's messages. This version reads every
// field that the previous version wrote, and accepts messages without the fields that are
// new in this version.
func TestMessagesOfPreviousVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var previous struct {
		Status []json.RawMessage `json:"status"`
		Reply  []json.RawMessage `json:"reply"`
	}
	if err := json.Unmarshal(text, &previous); err != nil {
		t.Fatal(err)
	}
	expectRoundTrip := func(raw json.RawMessage, v any) {
		t.Helper()
		if err := (codec{}).Unmarshal(raw, v); err != nil {
			t.Fatal(err)
		}
		b, err := codec{}.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var a, z any
		if json.Unmarshal(raw, &a) != nil || json.Unmarshal(b, &z) != nil || !reflect.DeepEqual(a, z) {
			t.Errorf("%s was encoded again as %s", raw, b)
		}
	}
	aggregates := 0
	for _, raw := range previous.Status {
		var s Status
		expectRoundTrip(raw, &s)
		aggregates += len(s.Aggregates)
		for _, a := range s.Aggregates {
			if a.Shard == "" || a.Gangs != nil {
				t.Errorf("%+v", a)
			}
		}
	}
	if aggregates == 0 || len(previous.Reply) == 0 {
		t.Fatal("testdata/production.json has no messages to read")
	}
	expectRoundTrip(previous.Reply[0], &StatusReply{})
	// Conversely, the previous version ignores fields that it does not know.
	var previousStatus struct {
		Aggregates []struct {
			Shard string  `json:"part"`
			Wait  float64 `json:"wait"`
		} `json:"agg"`
	}
	b, err := codec{}.Marshal(Status{Aggregates: []leader.Aggregate{{Shard: "a", WaitingCPUs: 3, Gangs: map[string]leader.GangCapacity{"x": {Now: 1}}, ReservedForGangs: 2}}})
	if err != nil || json.Unmarshal(b, &previousStatus) != nil || previousStatus.Aggregates[0].Shard != "a" || previousStatus.Aggregates[0].Wait != 3 {
		t.Fatalf("%s: %v", b, err)
	}
}
