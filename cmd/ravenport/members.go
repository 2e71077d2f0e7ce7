package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ravenport/history"
)

// membersCommand returns the subcommand that prints the membership events in a history file.
// If the file is damaged, the subcommand prints the events before the damage and then fails.
func membersCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "members HISTORY",
		Short: "Print the membership events in a history file (detection.history.path)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := history.Read(args[0])
			var damage *history.DamageError
			if err != nil && !errors.As(err, &damage) {
				return err
			}
			for _, event := range events {
				fmt.Fprintln(cmd.OutOrStdout(), event)
			}
			return err
		},
	}
}
