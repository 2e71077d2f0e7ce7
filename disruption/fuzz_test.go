package disruption

import "testing"

// FuzzParse: whatever a setting or a stored claim names, parsing does not panic, and what is
// taken as an amount or a budget is written as it is read.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"3", "29%", "99.9%", "1e400%", "NaN%", "-1", "unlimited", "team/class", "team", "/", "", "a/b/c"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if amount, err := ParseMaxUnavailable(text); err == nil {
			for _, tasks := range []int{0, 1, 100_000} {
				if n := amount.For(tasks); n < 0 {
					t.Errorf("%q of %d tasks is %d", text, tasks, n)
				}
			}
		}
		key := ParseBudgetKey(text)
		if reparsed := ParseBudgetKey(key.String()); reparsed != key {
			t.Errorf("%q is %+v, and then %+v", text, key, reparsed)
		}
	})
}
