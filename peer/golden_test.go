package peer

import (
	"testing"

	"ravenport/detector"
	"ravenport/leader"
	"ravenport/records"
	"ravenport/shard"
)

// Controllers of different versions exchange messages during an upgrade. The encoded form
// of each message must therefore stay the same byte for byte when Go identifiers are
// renamed.
func TestEncodedMessagesAreFixed(t *testing.T) {
	for _, c := range []struct {
		name, want string
		message    any
	}{
		{"status", `{"node":"n-0","state_ok":true,"fc":{"a":` + encoded(t, leader.Forecast{}) + `},"strays":[{"m":"m-1","s":2,"q":3}],"rev":9,` +
			`"ask":[{"key":"rv/part/a","term":4,"ver":5}],"counts":{"a":{"run-000001":[1,2]}}}`,
			Status{Controller: "n-0", StoreReachable: true, Forecast: map[string]leader.Forecast{"a": {}}, MisroutedHeartbeats: []shard.MisroutedHeartbeat{{Machine: "m-1", Epoch: 2, Seq: 3}},
				Revision: 9, ExtensionRequest: []HeldTerm{{"rv/part/a", 4, 5}}, Counts: map[string]records.CountsByJob{"a": {"run-000001": {1, 2}}}}},
		{"reply", `{"node":"n-0","promise":true,"cancels":6,"named":true,"cancelled":[{"job":"run-000001","rev":6}]}`,
			StatusReply{Controller: "n-0", ExtensionGranted: true, LatestCancellation: 6, AllCancellationsListed: true, Cancellations: []Cancellation{{"run-000001", 6}}}},
		{"relayed transaction's reply", `{"outcome":"conflict","rev":1,"failed":["k"]}`,
			CommitReply{Outcome: OutcomeConflict, Revision: 1, FailedKeys: []string{"k"}}},
		{"heartbeat", `{"node":"n-0","hb":{"proc":7,"ref":1,"seq":3,"stalled":["leader"]},"acc":[{"node":"n-2","proc":9,"ref":2,"ev":["unserved"]}]}`,
			detector.Message{Controller: "n-0", Heartbeat: detector.Heartbeat{Incarnation: 7, Refutation: 1, Sequence: 3, Stalled: []string{"leader"}},
				Accusations: []detector.Accusation{{Controller: "n-2", Incarnation: 9, Refutation: 2, Evidence: []detector.Evidence{detector.Unserved}}}}},
		{"probe", `{"node":"n-0","target":"n-2"}`, ProbeRequest{Controller: "n-0", Target: "n-2"}},
		{"probe's reply", `{"hb":{"proc":7,"seq":3}}`, ProbeReply{Heartbeat: &detector.Heartbeat{Incarnation: 7, Sequence: 3}}},
	} {
		if got := encoded(t, c.message); got != c.want {
			t.Errorf("%s: got\n%s, want\n%s", c.name, got, c.want)
		}
	}
}

func encoded(t *testing.T, v any) string {
	t.Helper()
	b, err := codec{}.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
