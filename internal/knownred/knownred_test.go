package main

import (
	"errors"
	"strings"
	"testing"
)

const list = `# comment
test: TestListed
package: ravenport/controller
command: go test ./controller -run '^TestListed$' -count=1 -sim.from 1
failure: seed 1: \d+ broken rules, first: ran_cancelled: .*
beside: \d+ starts
seen: once
issue: 37
`

// packageEnd is the end of go test's output for a failed package.
const packageEnd = "FAIL\nFAIL\travenport/controller\t3.1s\n"

func mustParseEntries(t *testing.T, list string) []Entry {
	t.Helper()
	entries, err := ParseEntries(strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// Only the listed failure is excused. Any other failure of the same run, and any other
// message of the same test, is not excused.
func TestOnlyTheListedFailureIsExcused(t *testing.T) {
	const listed = "--- FAIL: TestListed (0.45s)\n" +
		"    --- FAIL: TestListed (0.45s)\n" +
		"        random_test.go:12: 77 starts\n" +
		"        random_test.go:14: seed 1: 1 broken rules, first: ran_cancelled: run-1/0 on m-1\n" +
		"              0:01 submitted\n"
	for _, c := range []struct {
		name, output string
		excused      bool
	}{
		{"the listed failure", listed + packageEnd, true},
		{"beside a package that passes", "ok  \travenport/wire\t0.1s\n" + listed + packageEnd + "ok  \travenport/window\t0.1s\n", true},
		{"another rule", strings.Replace(listed, "ran_cancelled", "ran_twice", 1) + packageEnd, false},
		{"another seed", strings.Replace(listed, "seed 1:", "seed 2:", 1) + packageEnd, false},
		{"another message beside the listed one", listed + "        random_test.go:20: seed 1: no gang began\n" + packageEnd, false},
		{"only a log", "--- FAIL: TestListed (0.45s)\n    random_test.go:12: 77 starts\n" + packageEnd, false},
		{"no message", "--- FAIL: TestListed (0.45s)\n" + packageEnd, false},
		{"an unlisted test", listed + "--- FAIL: TestOther (0.45s)\n    other_test.go:1: seed 1: 1 broken rules, first: ran_cancelled: x\n" + packageEnd, false},
		{"the same name in another package", listed + "FAIL\nFAIL\travenport/shard\t3.1s\n", false},
		{"a package that fails without a test", listed + packageEnd + "FAIL\travenport/shard\t0.1s\n", false},
		{"a panic", listed + "panic: test timed out after 10m0s\n" + packageEnd, false},
		{"a fatal error", listed + "fatal error: all goroutines are asleep\n" + packageEnd, false},
		{"a data race", "WARNING: DATA RACE\n" + listed + packageEnd, false},
		{"a build failure", listed + packageEnd + "FAIL\travenport/shard [build failed]\n", false},
		{"an empty log", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, err := CheckOutput(strings.NewReader(c.output), mustParseEntries(t, list))
			if err != nil {
				t.Fatal(err)
			}
			if excused := len(result.Unexcused) == 0; excused != c.excused {
				t.Errorf("excused: %v; not excused: %q; excused tests: %q", excused, result.Unexcused, result.Excused)
			}
		})
	}
}

func TestDamagedEntriesAreRefused(t *testing.T) {
	for name, invalid := range map[string]string{
		"no test":                            strings.Replace(list, "test: TestListed\n", "", 1),
		"no command":                         strings.Replace(list, "command: go", "# go", 1),
		"no failure":                         strings.Replace(list, "failure:", "beside:", 1),
		"no issue":                           strings.Replace(list, "issue: 37", "", 1),
		"an issue without a number":          strings.Replace(list, "issue: 37", "issue: known", 1),
		"an unknown field":                   list + "until: tomorrow\n",
		"an empty field":                     strings.Replace(list, "seen: once", "seen:", 1),
		"a broken pattern":                   strings.Replace(list, `\d+ broken`, `(\d+ broken`, 1),
		"a pattern that matches any message": strings.Replace(list, `seed 1: \d+ broken rules, first: ran_cancelled: .*`, `.*`, 1),
		"the former format":                  "TestListed: fails at times; issue 34\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseEntries(strings.NewReader(list + "\n" + invalid))
			var entryError *EntryError
			if !errors.As(err, &entryError) || entryError.Line < 10 {
				t.Errorf("error %v", err)
			}
		})
	}
}

// The list of this repository is valid.
func TestProjectsListIsReadable(t *testing.T) {
	if _, err := readEntries("../../KNOWN-RED.txt"); err != nil {
		t.Error(err)
	}
}

func TestMissingListExcusesNothing(t *testing.T) {
	entries, err := readEntries("no such file")
	if err != nil || len(entries) != 0 {
		t.Errorf("%d entries, %v", len(entries), err)
	}
}
