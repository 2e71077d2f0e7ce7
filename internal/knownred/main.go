// Command knownred checks whether all failures in the output of a failed test run are in
// a list of known failures. It prints the tests that failed as listed, and the failures
// that are not excused. Its exit status is 0 only if all failures are listed.
//
//	go run ./internal/knownred LIST LOG
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred LIST LOG")
		os.Exit(2)
	}
	result, err := checkFiles(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	for _, test := range result.Excused {
		fmt.Println("failed as listed in KNOWN-RED.txt:", test)
	}
	for _, reason := range result.Unexcused {
		fmt.Println("failed, not excused:", reason)
	}
	if len(result.Unexcused) > 0 {
		os.Exit(1)
	}
}

// checkFiles checks the test output in the file log against the entries in the file list.
func checkFiles(list, log string) (Result, error) {
	entries, err := readEntries(list)
	if err != nil {
		return Result{}, err
	}
	output, err := os.Open(log)
	if err != nil {
		return Result{}, err
	}
	defer output.Close()
	return CheckOutput(output, entries)
}

// readEntries reads the entries of a file. If the file does not exist, there are no
// entries.
func readEntries(list string) ([]Entry, error) {
	file, err := os.Open(list)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := ParseEntries(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", list, err)
	}
	return entries, nil
}
