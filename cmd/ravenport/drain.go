package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/settings"
)

// drainCommand returns the parent command of the drain subcommands. Each subcommand sends a
// request to a controller and prints the controller's reply.
func drainCommand() *cobra.Command {
	var target drainTarget
	root := &cobra.Command{
		Use:   "drain",
		Short: "Drain machines in steps, within the disruption budgets",
		Long: "Every controller that was started with --draining accepts requests about drains: give its\n" +
			"address by --controller, or by --config the settings file of the controller on this machine.",
	}
	target.addFlags(root)
	root.AddCommand(
		selectionCommand(&target, peer.OpPlan, "Show what a drain would evict and what blocks it, without starting it"),
		selectionCommand(&target, peer.OpStart, "Start a drain and print its number"),
		statusCommand(&target),
		numberCommand(&target, peer.OpPause, "Pause a drain: its machines accept tasks again"),
		numberCommand(&target, peer.OpResume, "Resume a drain that was paused or has stopped"),
		numberCommand(&target, peer.OpCancel, "Cancel a drain permanently; machines that are already cordoned for their return are still returned"),
	)
	return root
}

// selectionCommand returns a subcommand that takes a selection of machines.
func selectionCommand(target *drainTarget, op peer.DrainOp, short string) *cobra.Command {
	var selection selectionFlags
	cmd := &cobra.Command{
		Use:   string(op),
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request, err := selection.request(op, time.Now())
			if err != nil {
				return err
			}
			return target.send(cmd, request)
		},
	}
	selection.addFlags(cmd)
	return cmd
}

// numberCommand returns a subcommand that takes the number of a drain.
func numberCommand(target *drainTarget, op peer.DrainOp, short string) *cobra.Command {
	return &cobra.Command{
		Use:   string(op) + " NUMBER",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.Atoi(args[0])
			if err != nil || number < 1 {
				return settings.Invalid("drain", "%q is not the number of a drain", args[0])
			}
			return target.send(cmd, peer.DrainRequest{Op: op, Number: number})
		},
	}
}

// statusCommand returns the subcommand that prints drains and budgets: once, or repeatedly
// with --watch until the user interrupts it.
func statusCommand(target *drainTarget) *cobra.Command {
	var watch bool
	cmd := &cobra.Command{
		Use:   string(peer.OpStatus),
		Short: "Show drains and disruption budgets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if watch {
				watchStatus(cmd, target)
				return nil
			}
			return target.send(cmd, peer.DrainRequest{Op: peer.OpStatus})
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "print the status every second until interrupted")
	return cmd
}

// watchStatus prints the status repeatedly until the user interrupts it. It prints an error
// and continues, because the controller may be unreachable for only a moment.
func watchStatus(cmd *cobra.Command, target *drainTarget) {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
	defer stop()
	cmd.SetContext(ctx)
	for {
		err := target.send(cmd, peer.DrainRequest{Op: peer.OpStatus})
		if err != nil && ctx.Err() == nil {
			fmt.Fprintln(cmd.ErrOrStderr(), "ravenport:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(constants.MaxPushInterval):
		}
	}
}
