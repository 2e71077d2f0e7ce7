package records

import (
	"testing"

	"ravenport/wire"
)

// During an upgrade, controllers of different versions read each other's records. This test
// therefore fixes the exact encoding of each stored record independently of its Go
// identifiers.
func TestStoredFormsAreFixed(t *testing.T) {
	page := &InventoryPage{}
	page.Add(Machine{Name: "m-1", Type: "box", Addr: "10.0.0.9:9000"})
	page.Add(Machine{Name: "m-2", Type: "box", RequestedS: 17})
	terminating := &InventoryPage{}
	terminating.Add(Machine{Name: "m-1", Type: "box", Spot: true, Addr: "10.0.0.9:9000", Terminating: true})
	for _, c := range []struct {
		name, key, want string
		record          any
	}{
		{"controller", KeyController("n-0"), `{"inc":7,"pack":true}`, Controller{Name: "n-0", Incarnation: 7, ReadsPacked: true}},
		{"controller that supports revocation", KeyController("n-0"), `{"inc":7,"life":3500}`, Controller{Name: "n-0", Incarnation: 7, LeaseTTLMS: 3500}},
		{"revocation", KeyRevocation("n-0"), `{"inc":7,"life":3500,"by":"n-1","ev":["unserved"],"acc":["n-1","n-2"]}`,
			Revocation{Controller: "n-0", Incarnation: 7, LeaseTTLMS: 3500, RevokedBy: "n-1", Evidence: []string{"unserved"}, Accusers: []string{"n-1", "n-2"}}},
		{"term", KeyShard("a"), `{"node":"n-0","inc":7,"term":3,"cut":true}`, Term{Shard: "a", Controller: "n-0", Incarnation: 7, Number: 3, PreviousUnreachable: true}},
		{"leader's term", KeyLeader, `{"node":"n-0","inc":7,"term":3}`, Term{Controller: "n-0", Incarnation: 7, Number: 3}},
		{"page", KeyInventory("a", 2), `{"g":[{"t":"box","u":{"m-1":"10.0.0.9:9000"},"c":{"m-2":17}}]}`, page},
		{"page with a terminating machine", KeyInventory("a", 3), `{"g":[{"t":"box","s":true,"u":{"m-1":"10.0.0.9:9000"},"x":["m-1"]}]}`, terminating},
		{"job", KeyJob("run-000001"), `{"spec":{"uid":"","lane":"c","crew":"t","shape":"sweep","rank":"standard","pieces":4,"cpus":1,"cards":0,"mem_gb":2,"kit":"i","pull_gb":0.5,"guess_s":9,"mark_every_s":0,"stow_s":0},"at":5,"end":"done","ch":[{"f":0,"t":4,"p":"a","c":true,"k":true,"g":true}],"try":6}`,
			Job{ID: "run-000001", AcceptedMS: 5, End: wire.JobDone, Attempt: 6,
				Spec:        wire.Submission{Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 4, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: 0.5, EstimateS: 9},
				Assignments: []Assignment{{From: 0, To: 4, Shard: "a", Closed: true, KeepWaiting: true, Guaranteed: true}}}},
	} {
		if got := string(Encode(c.record)); got != c.want {
			t.Errorf("%s is encoded as\n%s, want\n%s", c.name, got, c.want)
		}
		if _, err := Decode(c.key, []byte(c.want)); err != nil {
			t.Errorf("%s cannot be decoded: %v", c.name, err)
		}
	}
}
