package disruption

import "testing"

// FuzzParse checks that parsing an amount or a budget's name from a setting or a stored
// claim does not panic, that an amount allows no negative number of tasks, and that a
// budget's name is parsed to the same key after it is formatted.
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
