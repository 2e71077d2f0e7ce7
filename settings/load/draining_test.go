package load

import (
	"os"
	"strings"
	"testing"

	"ravenport/disruption"
)

// The shipped file sets a budget for every team. An error names the invalid field for every
// kind of error, and an unknown field is ignored.
func TestDrainingSettings(t *testing.T) {
	s, err := ParseSettings([]byte(strings.Replace(validSettings(t), "[facts.workers]", "[[facts.objectives]]\nkind = \"wait\"\nclass = \"train\"\nwithin_s = 1.0\nshare = 0.9\n[facts.workers]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if d, err := Draining("../../deploy/draining.properties", s); err != nil || len(d.Budgets.KeysFor("t", "train", true)) != 1 {
		t.Fatalf("%+v, %v", d, err)
	}
	shipped, err := os.ReadFile("../../deploy/draining.properties")
	if err != nil {
		t.Fatal(err)
	}
	d, err := ParseDraining([]byte("disruption.budget.t = 25%\ndisruption.budget.t/train = 2\ndrain.other = x"), s)
	if want := []disruption.BudgetKey{{Team: "t"}, {Team: "t", Class: "train"}}; err != nil || len(d.Budgets.KeysFor("t", "train", true)) != len(want) || len(d.Budgets.KeysFor("x", "train", true)) != 0 {
		t.Errorf("%+v, %v", d, err)
	}
	for field, line := range map[string]string{
		"disruption.budget.nobody":   "disruption.budget.nobody = 1",
		"disruption.budget.t/new":    "disruption.budget.t/new = 1",
		"disruption.budget.t":        "disruption.budget.t = 101%",
		"disruption.budget.*":        "disruption.budget.* = -1",
		"disruption.interruptions.t": "disruption.interruptions.t = 5%",
		"disruption.interruptions.x": "disruption.interruptions.x = 5",
		"disruption.stable.ms":       "disruption.stable.ms = soon",
		"drain.replace.within.ms":    "drain.replace.within.ms = 5000",
		"drain.failures.most":        "drain.failures.most = 0",
		"drain.parallel.percent":     "drain.parallel.percent = 1000",
		"drain.window.rule":          "drain.window.rule = FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30\ndrain.window.minutes = 60",
		"drain.window.zone":          "drain.window.rule = FREQ=DAILY\ndrain.window.minutes = 60\ndrain.window.zone = Mars/Olympus",
		"drain.window.minutes":       "drain.window.rule = FREQ=DAILY",
	} {
		_, err := ParseDraining(append(shipped, "\n"+line...), s)
		wantFieldError(t, err, field, line)
	}
	if d, err := ParseDraining([]byte("disruption.budget.* = unlimited\ndisruption.interruptions.t = 2"), s); err != nil || len(d.Budgets.KeysFor("t", "train", true)) != 0 || len(d.Budgets.KeysFor("t", "train", false)) != 1 {
		t.Errorf("%+v, %v", d, err)
	}
	for _, withoutServices := range []string{"", "disruption.stable.ms = 2000\ndisruption.interruptions.* = 1"} {
		_, err := ParseDraining([]byte(withoutServices), s)
		wantFieldError(t, err, "disruption.budget.*", withoutServices)
	}
	_, err = Draining("not there", s)
	wantFieldError(t, err, "not there", "no file")
}
