package wire

import (
	"encoding/json"
	"errors"
	"testing"
)

// FuzzParseHeartbeat checks that ParseHeartbeat returns, for any body, either a
// *FieldError or a heartbeat whose machine, epoch and notice are valid.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"host":"m-000231","addr":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"shift":1,"tally":88,"baton":41,"warning_s":null,"pieces":[{"piece":"run-000412/3","try":2,"status":"running"},{"piece":"run-000398/0","try":1,"status":"exited","cause":"done"}]}`))
	f.Add([]byte(`{"host":"m","shift":18446744073709551615,"warning_s":1e308}`))
	f.Add([]byte(`{"host":"m","shift":-1}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		var field *FieldError
		switch {
		case err != nil && !errors.As(err, &field):
			t.Errorf("%v is not a FieldError", err)
		case err == nil && (heartbeat.Machine == "" || heartbeat.Epoch == 0 || heartbeat.NoticeS != nil && !(*heartbeat.NoticeS >= 0)):
			t.Errorf("%q was accepted as %+v", body, heartbeat)
		}
		if err != nil {
			return
		}
		for _, task := range heartbeat.Tasks {
			if _, index, ok := ParseTaskName(task.Task); ok && index < 0 {
				t.Errorf("task %q has index %d", task.Task, index)
			}
		}
	})
}

// FuzzParseSubmission checks that ParseSubmission returns, for any body, either a
// *FieldError or a submission that is in range and can be encoded.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"uid":"run-000412","lane":"train","crew":"vision","shape":"sweep","rank":"urgent","pieces":16,"cpus":8.0,"cards":1.0,"mem_gb":64.0,"kit":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,"one_zone":true,"scatter":false,"loaners":true,"guess_s":240.0,"mark_every_s":30.0,"stow_s":4.0,"due_s":900.0}`))
	f.Add([]byte(`{"uid":"run-000412","pieces":1e9,"cpus":-0.0}`))
	f.Add([]byte(`{"uid":null}`))
	f.Add([]byte(`""`))
	f.Fuzz(func(t *testing.T, body []byte) {
		submission, _, err := ParseSubmission(body)
		if err != nil {
			var field *FieldError
			if !errors.As(err, &field) {
				t.Errorf("%v is not a FieldError", err)
			}
			return
		}
		if submission.Tasks < 1 || submission.CPUs < 0 || submission.MemoryGB < 0 {
			t.Errorf("%q was accepted as %+v", body, submission)
		}
		if _, err := json.Marshal(submission); err != nil {
			t.Errorf("%+v cannot be encoded: %v", submission, err)
		}
	})
}

// FuzzDecode checks that decoding any message from the store, the cloud or another
// controller into any type does not panic, and that a decoded value can be encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"entries":[{"path":"a","data":{},"stamp":1}],"has_next":true,"ledger_count":431}`))
	f.Add([]byte(`{"ledger_count":433,"log":[{"put":"c/9","data":{},"stamp":433},{"delete":"c/d","stamp":432}]}`))
	f.Add([]byte(`{"hosts":[{"uid":"m-000231","build":"g8","age_s":61.5}],"has_next":false}`))
	f.Add([]byte(`{"builds":[{"sku":"g8","cpus":96,"yards":["a","b"]}]}`))
	f.Add([]byte(`{"baton":41,"shift":1,"orders":[{"verb":"stop","piece":"x","wind_down_s":10}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, v := range []any{&KeyValue{}, &Events{}, &CloudMachine{}, &MachineType{}, &HeartbeatReply{}, &Heartbeat{}, &CommandRequest{}, &Txn{}, &Redirect{}, &JobStatus{}} {
			if err := Decode(body, v); err != nil {
				continue
			}
			if _, err := json.Marshal(v); err != nil {
				t.Errorf("%q was decoded to %+v, which cannot be encoded: %v", body, v, err)
			}
		}
	})
}
