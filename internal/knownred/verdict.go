package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// failedTest is a top-level test that failed, with the messages that it and its subtests
// printed.
type failedTest struct {
	name     string
	pkg      string // known once the end of its package was read
	messages []string
}

// Lines of go test's output.
var (
	fatalLine      = regexp.MustCompile(`^panic:|^fatal error:|\[(build|setup) failed\]|^WARNING: DATA RACE`)
	failedTestLine = regexp.MustCompile(`^--- FAIL: ([A-Za-z0-9_]+)`)
	failedPkgLine  = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPkgLine  = regexp.MustCompile(`^(?:ok  |\?   )\t`)
	// resultLine is that of a subtest, or of the bubble of a test on the virtual clock.
	resultLine  = regexp.MustCompile(`^\s+--- (?:FAIL|PASS|SKIP): `)
	messageLine = regexp.MustCompile(`^\s+[A-Za-z0-9_]+\.go:\d+: (.*)$`)
)

// Verdict is what a failed run of the tests amounts to.
type Verdict struct {
	Excused []string // tests that failed as listed
	Faults  []string // why the run is not excused; none: it is
}

// Judge reads the output of a failed run of go test. The run is excused only if each test
// that failed is listed, and each message of it is that of the listed failure, or one that
// its entry allows beside it.
func Judge(output io.Reader, entries []Entry) (Verdict, error) {
	var verdict Verdict
	var failed []*failedTest
	var current *failedTest // the test whose messages are being read
	unassigned := 0         // the first failed test whose package's end was not read
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case fatalLine.MatchString(line):
			verdict.Faults = append(verdict.Faults, line)
		case failedTestLine.MatchString(line):
			current = &failedTest{name: failedTestLine.FindStringSubmatch(line)[1]}
			failed = append(failed, current)
		case failedPkgLine.MatchString(line):
			pkg := failedPkgLine.FindStringSubmatch(line)[1]
			if unassigned == len(failed) {
				verdict.Faults = append(verdict.Faults, pkg+" failed without a failed test")
			}
			for ; unassigned < len(failed); unassigned++ {
				failed[unassigned].pkg = pkg
			}
			current = nil
		case passedPkgLine.MatchString(line):
			current = nil
		case current != nil:
			current.addLine(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return verdict, err
	}
	for _, test := range failed {
		if fault := test.unexcused(entries); fault != "" {
			verdict.Faults = append(verdict.Faults, fault)
		} else {
			verdict.Excused = append(verdict.Excused, test.name)
		}
	}
	if len(failed) == 0 && len(verdict.Faults) == 0 {
		verdict.Faults = append(verdict.Faults, "no failed test is named")
	}
	return verdict, nil
}

// addLine adds one line that was printed after the test's result: a message, or a further
// line of the last one.
func (f *failedTest) addLine(line string) {
	if resultLine.MatchString(line) || !strings.HasPrefix(line, " ") {
		return
	}
	if match := messageLine.FindStringSubmatch(line); match != nil {
		f.messages = append(f.messages, match[1])
		return
	}
	text := strings.TrimSpace(line)
	if len(f.messages) == 0 {
		f.messages = append(f.messages, text)
		return
	}
	f.messages[len(f.messages)-1] += "\n" + text
}

// unexcused says why a failed test is not excused; "" if it is.
func (f *failedTest) unexcused(entries []Entry) (fault string) {
	listed := false
	for i := range entries {
		entry := &entries[i]
		if entry.Test != f.name || entry.Package != f.pkg {
			continue
		}
		listed = true
		if entry.describes(f.messages) {
			return ""
		}
	}
	if !listed {
		return fmt.Sprintf("%s of %s is not listed", f.name, f.pkg)
	}
	return fmt.Sprintf("%s failed otherwise than listed: %s", f.name, strings.Join(f.messages, "; "))
}

// describes reports whether the messages are those of the entry's failure, with nothing
// but what it allows beside. Only the first line of a message counts: event records may
// follow it.
func (e *Entry) describes(messages []string) bool {
	failures := 0
	for _, message := range messages {
		first, _, _ := strings.Cut(message, "\n")
		switch {
		case e.Failure.MatchString(first):
			failures++
		case !e.allowsBeside(first):
			return false
		}
	}
	return failures > 0
}

// allowsBeside reports whether the test may print a message beside the listed failure.
func (e *Entry) allowsBeside(message string) bool {
	for _, beside := range e.Beside {
		if beside.MatchString(message) {
			return true
		}
	}
	return false
}
