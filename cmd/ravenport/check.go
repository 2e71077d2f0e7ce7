package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ravenport/settings"
)

func checkCommand() *cobra.Command {
	var files settingsFiles
	check := &cobra.Command{
		Use:   "check --config PATH",
		Short: "Check the settings files and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := files.load()
			if err != nil {
				return err
			}
			printSettings(cmd.OutOrStdout(), s)
			return nil
		},
	}
	files.addFlags(check)
	return check
}

// printSettings prints a summary of valid settings and the values derived from them.
func printSettings(out io.Writer, s *settings.Settings) {
	authority, shortened := s.Authority()
	fmt.Fprintf(out, "settings are good: node %s in %s, %d controllers, authority %s, failure detection %s, draining %s\n",
		s.Controller, s.Zone, len(s.AllControllers()), authority, onOff(s.Detection != nil), onOff(s.Draining != nil))
	if shortened {
		fmt.Fprintln(out, "warning: cancel_s leaves little time after the workers' lease; the authority was shortened")
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
