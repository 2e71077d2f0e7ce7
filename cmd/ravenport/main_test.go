package main

import (
	"bytes"
	"testing"
)

// execute runs a command line and returns its output.
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
