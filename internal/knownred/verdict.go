package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// failedTest is a failed top-level test, with the messages that the test and its subtests
// printed.
type failedTest struct {
	name     string
	pkg      string // import path; set when the last line of the package has been read
	messages []string
}

// Patterns for the lines of go test's output.
var (
	fatalLine      = regexp.MustCompile(`^panic:|^fatal error:|\[(build|setup) failed\]|^WARNING: DATA RACE`)
	failedTestLine = regexp.MustCompile(`^--- FAIL: ([A-Za-z0-9_]+)`)
	failedPkgLine  = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPkgLine  = regexp.MustCompile(`^(?:ok  |\?   )\t`)
	// resultLine matches the result of a subtest, or of the synctest bubble of a test that
	// runs on a virtual clock.
	resultLine  = regexp.MustCompile(`^\s+--- (?:FAIL|PASS|SKIP): `)
	messageLine = regexp.MustCompile(`^\s+[A-Za-z0-9_]+\.go:\d+: (.*)$`)
)

// Result says whether the failures of a test run are excused.
type Result struct {
	Excused   []string // names of the tests that failed as listed
	Unexcused []string // reasons why the run is not excused; empty: the run is excused
}

// CheckOutput reads the output of a failed run of go test and compares the failures with
// the entries. The run is excused only if each failed test is listed, and each message of
// the test matches either the failure or an allowed message of its entry.
func CheckOutput(output io.Reader, entries []Entry) (Result, error) {
	var result Result
	var failed []*failedTest
	var current *failedTest  // test whose messages are being read
	firstWithoutPackage := 0 // index of the first failed test whose package is not known yet
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
				result.Unexcused = append(result.Unexcused, pkg+" failed, but none of its tests did")
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
		result.Unexcused = append(result.Unexcused, "the output names no failed test")
	}
	return result, nil
}

// addLine adds a line that was printed after the test's result. The line either begins a
// message or continues the last message.
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

// unexcused returns the reason why a failed test is not excused, or "" if it is excused.
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
	return fmt.Sprintf("%s failed differently than listed: %s", f.name, strings.Join(f.messages, "; "))
}

// matches reports whether the messages include the entry's failure and, apart from that,
// only messages that the entry allows. Only the first line of each message is compared,
// because event records may follow it.
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

// allowsMessage reports whether the test may print a message in addition to the listed
// failure.
func (e *Entry) allowsMessage(message string) bool {
	for _, allowed := range e.AllowedMessages {
		if allowed.MatchString(message) {
			return true
		}
	}
	return false
}
