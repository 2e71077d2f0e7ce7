package peer

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"ravenport/leader"
)

// This version and the one before read each other's messages: every field that the
// earlier one wrote is read, and fields that are new here may be missing.
func TestMessagesOfTheVersionBefore(t *testing.T) {
	text, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var was struct {
		Status []json.RawMessage `json:"status"`
		Reply  []json.RawMessage `json:"reply"`
	}
	if err := json.Unmarshal(text, &was); err != nil {
		t.Fatal(err)
	}
	same := func(raw json.RawMessage, v any) {
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
			t.Errorf("%s became %s", raw, b)
		}
	}
	aggregates := 0
	for _, raw := range was.Status {
		var s Status
		same(raw, &s)
		aggregates += len(s.Aggregates)
		for _, a := range s.Aggregates {
			if a.Shard == "" || a.Gangs != nil {
				t.Errorf("%+v", a)
			}
		}
	}
	if aggregates == 0 || len(was.Reply) == 0 {
		t.Fatal("no messages to read")
	}
	same(was.Reply[0], &StatusReply{})
	// And the other way round: the version before ignores fields it does not know.
	var frozen struct {
		Aggregates []struct {
			Shard string  `json:"part"`
			Wait  float64 `json:"wait"`
		} `json:"agg"`
	}
	b, err := codec{}.Marshal(Status{Aggregates: []leader.Aggregate{{Shard: "a", WaitingCPUs: 3, Gangs: map[string]leader.GangCapacity{"x": {Now: 1}}, ReservedForGangs: 2}}})
	if err != nil || json.Unmarshal(b, &frozen) != nil || frozen.Aggregates[0].Shard != "a" || frozen.Aggregates[0].Wait != 3 {
		t.Fatalf("%s: %v", b, err)
	}
}
