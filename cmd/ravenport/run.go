package main

import (
	"context"
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
)

// bytesPerMB converts the memory limit in the settings to bytes.
const bytesPerMB = 1 << 20

func runCommand() *cobra.Command {
	var files settingsFiles
	run := &cobra.Command{
		Use:   "ravenport --config PATH",
		Short: "Run one controller of the ravenport cluster scheduler",
		Long: "ravenport schedules job arrays, gangs and services on cloud machines.\n" +
			"It runs until it is stopped. LOG_LEVEL (error, info, debug) sets how much it logs to standard error.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return runController(cmd.Context(), &files) },
	}
	files.addFlags(run)
	return run
}

// runController runs a controller until a signal stops it or it fails.
func runController(ctx context.Context, files *settingsFiles) error {
	s, err := files.load()
	if err != nil {
		return err
	}
	if err := setUpLogging(); err != nil {
		return err
	}
	limitMemory(s)
	limitProcessors(s)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.Run(ctx, s)
}

// setUpLogging sets up logging to standard error at the level that the environment variable
// LOG_LEVEL sets.
func setUpLogging() error {
	level := slog.LevelInfo
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "warn":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	default:
		return settings.Invalid("LOG_LEVEL", "%q is not error, info or debug", name)
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler))
	return nil
}

// limitProcessors limits the number of goroutines that run at once to the machine's CPU
// share, rounded up to whole processors. On a small share of one processor, more threads
// would only wake each other and search for work without finding any. An explicit
// GOMAXPROCS takes precedence.
func limitProcessors(s *settings.Settings) {
	if n := s.ProcessorCount(); n > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(n, runtime.GOMAXPROCS(0)))
	}
}

// limitMemory limits the heap to a share of the machine's memory.
func limitMemory(s *settings.Settings) {
	memoryMB := s.Deployment.Limits.MemoryMB
	if memoryMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryMB * constants.HeapMemoryShare * bytesPerMB))
	// Garbage collections run less often than by default, to save CPU time, which is scarce.
	// The memory limit still bounds the heap.
	debug.SetGCPercent(constants.GCPercent)
}
