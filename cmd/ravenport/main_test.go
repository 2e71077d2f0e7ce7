package main

import (
	"bytes"
	"testing"
)

// execute executes a command line and returns what it printed.
func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	command := rootCommand()
	command.SetArgs(args)
	command.SetOut(&output)
	command.SetErr(&output)
	err := command.Execute()
	return output.String(), err
}
