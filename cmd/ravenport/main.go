// Command ravenport runs one controller of the cluster scheduler and contains tools for its
// operators.
//
//	ravenport --config PATH         run a controller until it is stopped
//	ravenport check --config PATH   check the settings files and print values derived from them
//	ravenport members HISTORY       print the membership events in a history file
//	ravenport drain SUBCOMMAND      plan, start, watch, pause, resume or cancel drains
//
// It logs to standard error. The exit code is 0 for success, 2 for an invalid setting, flag
// value or environment variable, and 1 for every other failure. On failure, one line on standard
// error describes the error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ravenport/settings"
)

// version is the release version. A build can override it with -ldflags -X.
var version = "0.1.0"

// Exit codes.
const (
	exitFailure        = 1
	exitInvalidSetting = 2
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ravenport:", err)
	var invalid *settings.FieldError
	if errors.As(err, &invalid) {
		os.Exit(exitInvalidSetting)
	}
	os.Exit(exitFailure)
}

// rootCommand returns the command that runs a controller, with all subcommands.
func rootCommand() *cobra.Command {
	root := runCommand()
	root.AddCommand(checkCommand(), membersCommand(), drainCommand())
	root.SetContext(context.Background())
	return root
}
