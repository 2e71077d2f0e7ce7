package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Entry describes one known failure of one test.
type Entry struct {
	Test     string // the top-level test function
	Package  string // import path of the test's package
	Command  string // command that reproduces the failure, with the seed
	Observed string // what was observed, and how often
	Issue    int    // number of the open issue for the failure

	// Failure matches the first line of the listed failure's message.
	Failure *regexp.Regexp
	// AllowedMessages match other messages that the test may print in addition: logs, and
	// consequences of the failure.
	AllowedMessages []*regexp.Regexp
}

// EntryError reports an invalid entry.
type EntryError struct {
	Line   int // first line of the entry
	Reason string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("entry in line %d: %s", e.Line, e.Reason)
}

// fieldSeparator separates the name of a field from its value.
const fieldSeparator = ": "

// ParseEntries parses a list of known failures. An entry is a block of "field: value"
// lines. Empty lines separate the entries. A line that begins with # is a comment.
func ParseEntries(list io.Reader) ([]Entry, error) {
	var entries []Entry
	var block []string
	blockLine, line := 0, 0
	finishBlock := func() error {
		if len(block) == 0 {
			return nil
		}
		entry, err := parseEntry(block, blockLine)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
		block = nil
		return nil
	}
	scanner := bufio.NewScanner(list)
	for scanner.Scan() {
		line++
		text := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(text, "#") {
			continue
		}
		if text == "" {
			if err := finishBlock(); err != nil {
				return nil, err
			}
			continue
		}
		if len(block) == 0 {
			blockLine = line
		}
		block = append(block, text)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if err := finishBlock(); err != nil {
		return nil, err
	}
	return entries, nil
}

// parseEntry parses one entry. All fields except "beside" are required.
func parseEntry(block []string, line int) (Entry, error) {
	var entry Entry
	for _, text := range block {
		name, value, _ := strings.Cut(text, fieldSeparator)
		if reason := entry.setField(name, strings.TrimSpace(value)); reason != "" {
			return Entry{}, &EntryError{line, reason}
		}
	}
	if entry.Test == "" || entry.Package == "" || entry.Command == "" || entry.Observed == "" || entry.Issue == 0 || entry.Failure == nil {
		return Entry{}, &EntryError{line, "the fields test, package, command, failure, seen and issue are required"}
	}
	return entry, nil
}

// setField sets one field. If the field is invalid, setField returns the reason, and ""
// otherwise.
func (e *Entry) setField(name, value string) (reason string) {
	if value == "" {
		return fmt.Sprintf("field %q has no value", name)
	}
	var err error
	switch name {
	case "test":
		e.Test = value
	case "package":
		e.Package = value
	case "command":
		e.Command = value
	case "seen":
		e.Observed = value
	case "issue":
		e.Issue, err = strconv.Atoi(value)
	case "failure":
		e.Failure, err = compileSpecificPattern(value)
	case "beside":
		var allowed *regexp.Regexp
		allowed, err = compileSpecificPattern(value)
		e.AllowedMessages = append(e.AllowedMessages, allowed)
	default:
		return fmt.Sprintf("unknown field %q", name)
	}
	if err != nil {
		return fmt.Sprintf("field %q: %v", name, err)
	}
	return ""
}

// unrelatedMessage is a message that no test prints. A pattern that matches it is too
// general.
const unrelatedMessage = "1 unrelated message of 2 words"

// compileSpecificPattern compiles a pattern that has to match the whole of a line. It
// rejects a pattern that matches any message.
func compileSpecificPattern(pattern string) (*regexp.Regexp, error) {
	compiled, err := regexp.Compile("^(?:" + pattern + ")$")
	if err != nil {
		return nil, err
	}
	if compiled.MatchString(unrelatedMessage) {
		return nil, errors.New("the pattern matches any message")
	}
	return compiled, nil
}
