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

// Result is what a failed run of the tests amounts to.
type Result struct {
	Excused   []string // tests that failed as listed
	Unexcused []string // why the run is not excused; none: it is
}

// CheckOutput reads the output of a failed run of go test. The run is excused only if each test
// that failed is listed, and each message of it is that of the listed failure, or one that
// its entry allows beside it.
func CheckOutput(output io.Reader, entries []Entry) (Result, error) {
	var result Result
	var failed []*failedTest
	var current *failedTest  // the test whose messages are being read
	firstWithoutPackage := 0 // the first failed test whose package's end was not read
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case fatalLine.MatchString(line):
			result.Unexcused = append(result.Unexcused, line)
		case failedTestLine.MatchString(line):
			current = &failedTest{name: failedTestLine.FindStringSubmatch(line)[1]}
			failed = append(failed, current)
		case failedPkgLine.MatchString(line):
			pkg := failedPkgLine.FindStringSubmatch(line)[1]
			if firstWithoutPackage == len(failed) {
				result.Unexcused = append(result.Unexcused, pkg+" failed without a failed test")
			}
			for ; firstWithoutPackage < len(failed); firstWithoutPackage++ {
				failed[firstWithoutPackage].pkg = pkg
			}
			current = nil
		case passedPkgLine.MatchString(line):
			current = nil
		case current != nil:
			current.addLine(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return result, err
	}
	for _, test := range failed {
		if reason := test.unexcused(entries); reason != "" {
			result.Unexcused = append(result.Unexcused, reason)
		} else {
			result.Excused = append(result.Excused, test.name)
		}
	}
	if len(failed) == 0 && len(result.Unexcused) == 0 {
		result.Unexcused = append(result.Unexcused, "no failed test is named")
	}
	return result, nil
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
func (f *failedTest) unexcused(entries []Entry) (reason string) {
	listed := false
	for i := range entries {
		entry := &entries[i]
		if entry.Test != f.name || entry.Package != f.pkg {
			continue
		}
		listed = true
		if entry.matches(f.messages) {
			return ""
		}
	}
	if !listed {
		return fmt.Sprintf("%s of %s is not listed", f.name, f.pkg)
	}
	return fmt.Sprintf("%s failed otherwise than listed: %s", f.name, strings.Join(f.messages, "; "))
}

// matches reports whether the messages are those of the entry's failure, with nothing
// but what it allows beside. Only the first line of a message counts: event records may
// follow it.
func (e *Entry) matches(messages []string) bool {
	failures := 0
	for _, message := range messages {
		first, _, _ := strings.Cut(message, "\n")
		switch {
		case e.Failure.MatchString(first):
			failures++
		case !e.allowsMessage(first):
			return false
		}
	}
	return failures > 0
}

// allowsMessage reports whether the test may print a message beside the listed failure.
func (e *Entry) allowsMessage(message string) bool {
	for _, allowed := range e.AllowedMessages {
		if allowed.MatchString(message) {
			return true
		}
	}
	return false
}
