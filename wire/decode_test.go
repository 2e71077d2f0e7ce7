package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawHeartbeat(t *rapid.T) Heartbeat {
	name := rapid.StringMatching(`[a-z0-9-]{1,20}`)
	r := Heartbeat{Machine: name.Draw(t, "machine"), Addr: "10.0.0.1:7000", Type: name.Draw(t, "type"), Zone: name.Draw(t, "zone"),
		Spot: rapid.Bool().Draw(t, "spot"), Epoch: rapid.Uint64Min(1).Draw(t, "session"), Seq: rapid.Uint64().Draw(t, "seq"), FencingToken: rapid.Uint64().Draw(t, "token")}
	for range rapid.IntRange(0, 6).Draw(t, "tasks") {
		r.Tasks = append(r.Tasks, TaskStatus{Task: "run-" + name.Draw(t, "job") + "/3", Attempt: rapid.Uint64().Draw(t, "attempt"),
			State: rapid.SampledFrom([]TaskState{TaskFetching, TaskRunning, TaskExited}).Draw(t, "state"), Cause: rapid.SampledFrom([]ExitCause{"", CauseDone, CauseError}).Draw(t, "cause")})
	}
	if rapid.Bool().Draw(t, "notice") {
		n := rapid.Float64Range(-1, 100).Draw(t, "notice_s")
		r.NoticeS = &n
	}
	return r
}

// Decode accepts and refuses the same messages as encoding/json, including malformed
// ones, and decodes the accepted messages to the same values.
func TestDecodesAsTheStandardLibraryDoes(t *testing.T) {
	insertions := []string{"", "null", "true", "1.5", "-1", "1e3", "18446744073709551616", `"x"`, "[]", "{}", "[1]", `{"piece":7}`, `"\ud800"`, "\"\xff\"", "nul", " ", "\n", ",", `"host":"y",`, `"HOST":"z",`, `"tally":4.0,`, "\x00"}
	rapid.Check(t, func(t *rapid.T) {
		var body []byte
		var err error
		if rapid.Bool().Draw(t, "submission") {
			body, err = json.Marshal(drawSubmission(t))
		} else {
			body, err = json.Marshal(drawHeartbeat(t))
		}
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 4).Draw(t, "breaks") {
			from := rapid.IntRange(0, len(body)).Draw(t, "from")
			to := min(len(body), from+rapid.IntRange(0, 8).Draw(t, "length"))
			body = append(append(append([]byte{}, body[:from]...), rapid.SampledFrom(insertions).Draw(t, "junk")...), body[to:]...)
		}
		for _, newMessage := range []func() any{func() any { return &Heartbeat{} }, func() any { return &rawSubmission{} }} {
			want, got := newMessage(), newMessage()
			wantErr, gotErr := json.Unmarshal(body, want), Decode(body, got)
			if (wantErr == nil) != (gotErr == nil) {
				t.Fatalf("%q: error %v, wanted %v", body, gotErr, wantErr)
			}
			if wantErr == nil && !reflect.DeepEqual(want, got) {
				t.Fatalf("%q: read %+v, wanted %+v", body, got, want)
			}
		}
	})
}

// The error for a field with a named string type names the type string, not the Go
// type.
func TestDecodeErrorsNamePlainStrings(t *testing.T) {
	for _, c := range []struct {
		body    string
		message any
		want    string
	}{
		{`{"host":7}`, &Heartbeat{}, "number into Go struct field Heartbeat.host of type string"},
		{`{"pieces":[{"status":7}]}`, &Heartbeat{}, "number into Go struct field Heartbeat.pieces.0.status of type string"},
		{`{"pieces":[{"cause":[]}]}`, &Heartbeat{}, "array into Go struct field Heartbeat.pieces.0.cause of type string"},
		{`{"shift":"x"}`, &Heartbeat{}, "string into Go struct field Heartbeat.shift of type uint64"},
		{`{"orders":[{"verb":7}]}`, &CommandRequest{}, "number into Go struct field CommandRequest.orders.0.verb of type string"},
		{`{"hosts":[{"status":{}}]}`, &MachineList{}, "object into Go struct field MachineList.hosts.0.status of type string"},
		{`{"status":7}`, &JobReply{}, "number into Go struct field JobReply.status of type string"},
		{`{"shape":true}`, &Submission{}, "bool into Go struct field Submission.shape of type string"},
		{`{"rank":7}`, &Submission{}, "number into Go struct field Submission.rank of type string"},
	} {
		err := Decode([]byte(c.body), c.message)
		if want := "json: cannot unmarshal " + c.want; err == nil || err.Error() != want {
			t.Errorf("%s: error %v, wanted %s", c.body, err, want)
		}
	}
}

func heartbeatOfFourTasks() []byte {
	body := []byte(`{"host":"pine-box-0012","addr":"10.9.3.12:7000","build":"pine-box","yard":"mill-annex","loaners":true,"shift":3,"tally":1234,"baton":12582912,"warning_s":null,"pieces":[`)
	for i := range 4 {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, `{"piece":"run-000412/`...)
		body = append(body, byte('0'+i))
		body = append(body, `","try":201326593,"status":"running"}`...)
	}
	return append(body, "]}"...)
}

// Parsing a heartbeat takes few allocations: it is most of a controller's work,
// hundreds of times a second with over a thousand machines.
func TestParseHeartbeatAllocatesLittle(t *testing.T) {
	body := heartbeatOfFourTasks()
	n := testing.AllocsPerRun(200, func() {
		if _, err := ParseHeartbeat(body); err != nil {
			t.Fatal(err)
		}
	})
	if n > 15 { // 8 allocations, and a few more under the race detector, which empties pools at random
		t.Fatalf("%g allocations for a heartbeat of four tasks", n)
	}
}

func BenchmarkParseHeartbeat(b *testing.B) {
	body := heartbeatOfFourTasks()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}
