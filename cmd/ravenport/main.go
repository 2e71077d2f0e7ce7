// Command ravenport runs one controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"ravenport/constants"
	"ravenport/controller"
	"ravenport/settings"
	"ravenport/settings/load"
)

// version is the release; a build may set it.
var version = "0.1.0"

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ravenport:", err)
		var bad *settings.FieldError
		if errors.As(err, &bad) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// files are the paths of the settings files.
type files struct{ config, properties, detection, duties, draining string }

// flags adds the flags that name the settings files to a command.
func (f *files) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "path of the platform's settings file (TOML)")
	cmd.Flags().StringVar(&f.properties, "properties", "", "path of the operators' own settings (Java-style properties;\ndefault: "+load.PropertiesName+" beside the settings file, if there)")
	cmd.Flags().StringVar(&f.detection, "failure-detection", "", "path of the settings of failure detection (Java-style properties;\nwithout it there is none)")
	cmd.Flags().StringVar(&f.duties, "duties", "", "path of the settings of duties (Java-style properties;\nwithout it they are done as ever)")
	cmd.Flags().StringVar(&f.draining, "draining", "", "path of the settings of drains and budgets (Java-style properties;\nwithout it there are none)")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag was defined above
	}
}

// load reads and checks the files.
func (f *files) load() (*settings.Settings, error) {
	set, err := load.Settings(f.config, f.properties)
	if err == nil && f.detection != "" {
		set.Detection, err = load.Detection(f.detection)
	}
	if err == nil && f.duties != "" {
		set.Duties, err = load.Duties(f.duties)
	}
	if err == nil && f.draining != "" {
		set.Draining, err = load.Draining(f.draining, set)
	}
	return set, err
}

func command() *cobra.Command {
	var given files
	root := &cobra.Command{
		Use:   "ravenport --config PATH",
		Short: "Run one controller of the ravenport cluster scheduler",
		Long: "ravenport schedules arrays and services on rented machines.\n" +
			"It runs until it is ended. LOG_LEVEL (error, info, debug) sets how much it logs to standard error.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), &given) },
	}
	given.flags(root)
	root.AddCommand(checkCommand(), membersCommand(), drainCommand())
	root.SetContext(context.Background())
	return root
}

// run runs a controller until it is ended or fails.
func run(ctx context.Context, given *files) error {
	set, err := given.load()
	if err != nil {
		return err
	}
	if err := logging(); err != nil {
		return err
	}
	limitMemory(set)
	limitProcessors(set)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, set)
}

func checkCommand() *cobra.Command {
	var given files
	check := &cobra.Command{
		Use:   "check --config PATH",
		Short: "Check the settings files and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := given.load()
			if err != nil {
				return err
			}
			d, short := set.Authority()
			fmt.Fprintf(cmd.OutOrStdout(), "settings are good: node %s in %s, %d controllers, authority %s, failure detection %s, draining %s\n", set.Controller, set.Zone, len(set.AllControllers()), d, onOff(set.Detection != nil), onOff(set.Draining != nil))
			if short {
				fmt.Fprintln(cmd.OutOrStdout(), "warning: cancel_s leaves little room after the workers' lease; the authority was shortened")
			}
			return nil
		},
	}
	given.flags(check)
	return check
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func logging() error {
	level := slog.LevelInfo
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "warn":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	default:
		return &settings.FieldError{Field: "LOG_LEVEL", Problem: fmt.Sprintf("%q is not error, info or debug", v)}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

// limitProcessors runs as many goroutines at once as the machine's share of its
// processors keeps busy. On a small part of one, more only wake each other up and
// look for work in vain. Whoever sets GOMAXPROCS has decided otherwise.
func limitProcessors(set *settings.Settings) {
	if n := set.ProcessorCount(); n > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(n, runtime.GOMAXPROCS(0)))
	}
}

// limitMemory keeps the heap well within the machine's memory.
func limitMemory(set *settings.Settings) {
	if mb := set.Deployment.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * constants.HeapMemoryShare * (1 << 20)))
		// Collections cost processor time, of which there is little, while
		// the limit keeps the heap in bounds.
		debug.SetGCPercent(constants.GCPercent)
	}
}
