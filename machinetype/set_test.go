package machinetype

import (
	"testing"

	"ravenport/wire"
)

// A job was assigned to zones in which the cloud offers no machine that the job may run on.
func TestOffersByZone(t *testing.T) {
	set := NewSet([]wire.MachineType{
		{Name: "small", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, GPUs: 4, MemoryGB: 256, Zones: []string{"b"}},
		{Name: "anywhere", CPUs: 2, MemoryGB: 8},
	})
	cases := []struct {
		name string
		job  wire.Submission
		want string
	}{
		{"any type", wire.Submission{CPUs: 1}, "abc"},
		{"named type", wire.Submission{CPUs: 1, Types: []string{"small"}}, "ab"},
		{"named type of one zone", wire.Submission{CPUs: 1, Types: []string{"large"}}, "b"},
		{"one of two named types", wire.Submission{CPUs: 1, Types: []string{"small", "large"}}, "ab"},
		{"too large for a type", wire.Submission{CPUs: 32}, "b"},
		{"GPUs", wire.Submission{CPUs: 1, GPUs: 1}, "b"},
		{"memory", wire.Submission{CPUs: 1, MemoryGB: 65}, "b"},
		{"named type that is too small", wire.Submission{CPUs: 32, Types: []string{"small"}}, ""},
		{"type without a list of zones", wire.Submission{CPUs: 1, Types: []string{"anywhere"}}, "abc"},
		{"unknown type", wire.Submission{CPUs: 1, Types: []string{"other"}}, ""},
	}
	for _, c := range cases {
		offered := ""
		for _, zone := range []string{"a", "b", "c"} {
			if set.OffersFor(&c.job, zone) {
				offered += zone
			}
		}
		if offered != c.want {
			t.Errorf("%s: offered in %q, want %q", c.name, offered, c.want)
		}
	}
	if !(Set{}).OffersFor(&wire.Submission{Types: []string{"other"}}, "a") {
		t.Error("nothing is known of the types, so no zone may be excluded")
	}
}

// Machines of a type that the cloud has stopped offering still run tasks.
func TestCanRunOnType(t *testing.T) {
	set := NewSet([]wire.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64}})
	cases := []struct {
		job  wire.Submission
		on   string
		want bool
	}{
		{wire.Submission{CPUs: 16}, "small", true},
		{wire.Submission{CPUs: 17}, "small", false},
		{wire.Submission{CPUs: 1, Types: []string{"other"}}, "small", false},
		{wire.Submission{CPUs: 17, Types: []string{"withdrawn"}}, "withdrawn", true},
		{wire.Submission{CPUs: 1}, "withdrawn", true},
	}
	for _, c := range cases {
		if got := set.CanRun(&c.job, c.on); got != c.want {
			t.Errorf("%+v on %s: %v, want %v", c.job, c.on, got, c.want)
		}
	}
}
