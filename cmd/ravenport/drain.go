package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/records"
	"ravenport/settings"
	"ravenport/settings/load"
)

// drainFlags are the flags of the drain commands.
type drainFlags struct {
	controller, config string
	json, watch        bool

	machines, zones, types []string
	spot, ordinary, all    bool
	rentedBefore           string
}

func drainCommand() *cobra.Command {
	var f drainFlags
	root := &cobra.Command{
		Use:   "drain",
		Short: "Drain machines in steps, within the budgets of disruption",
		Long: "Drains are asked for at any controller that was started with --draining: name one by\n" +
			"--controller, or by --config the settings file of the controller on this machine.",
	}
	root.PersistentFlags().StringVar(&f.controller, "controller", "", "address of any controller for the others (its field back)")
	root.PersistentFlags().StringVar(&f.config, "config", "", "path of a controller's settings file (TOML), instead of --controller")
	root.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON")
	root.AddCommand(
		f.selecting(peer.OpPlan, "Say what a drain would take and what stands in its way; nothing is done"),
		f.selecting(peer.OpStart, "Start a drain; it prints its number"),
		f.statusCommand(),
		f.numbered(peer.OpPause, "Let a drain rest: its machines take tasks again"),
		f.numbered(peer.OpResume, "Let a drain that was paused, or has stopped, go on"),
		f.numbered(peer.OpCancel, "End a drain for good; machines that were closed are still returned"),
	)
	return root
}

// selecting makes a command that takes a selection of machines.
func (f *drainFlags) selecting(op peer.DrainOp, short string) *cobra.Command {
	cmd := &cobra.Command{Use: string(op), Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		request, err := f.request(op, time.Now())
		if err != nil {
			return err
		}
		return f.ask(cmd, request)
	}}
	cmd.Flags().StringSliceVar(&f.machines, "machine", nil, "names of machines")
	cmd.Flags().StringSliceVar(&f.zones, "zone", nil, "all machines of these zones")
	cmd.Flags().StringSliceVar(&f.types, "type", nil, "all machines of these types")
	cmd.Flags().BoolVar(&f.spot, "spot", false, "spot machines only")
	cmd.Flags().BoolVar(&f.ordinary, "ordinary", false, "ordinary machines only")
	cmd.Flags().StringVar(&f.rentedBefore, "rented-before", "", "machines rented before a time (RFC 3339), or longer ago than a duration (72h)")
	cmd.Flags().BoolVar(&f.all, "all", false, "every machine, where nothing else is named")
	return cmd
}

// numbered makes a command that takes a drain's number.
func (f *drainFlags) numbered(op peer.DrainOp, short string) *cobra.Command {
	return &cobra.Command{Use: string(op) + " NUMBER", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		number, err := strconv.Atoi(args[0])
		if err != nil || number < 1 {
			return &settings.FieldError{Field: "drain", Problem: fmt.Sprintf("%q is no number of a drain", args[0])}
		}
		return f.ask(cmd, peer.DrainRequest{Op: op, Number: number})
	}}
}

func (f *drainFlags) statusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: string(peer.OpStatus), Short: "Show drains and budgets", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		if !f.watch {
			return f.ask(cmd, peer.DrainRequest{Op: peer.OpStatus})
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
		defer stop()
		cmd.SetContext(ctx)
		for {
			if err := f.ask(cmd, peer.DrainRequest{Op: peer.OpStatus}); err != nil && ctx.Err() == nil {
				fmt.Fprintln(cmd.ErrOrStderr(), "ravenport:", err) // a controller that is away for a moment
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(constants.PushEvery):
			}
		}
	}}
	cmd.Flags().BoolVar(&f.watch, "watch", false, "print it every second until interrupted")
	return cmd
}

// request makes a request of the flags.
func (f *drainFlags) request(op peer.DrainOp, now time.Time) (peer.DrainRequest, error) {
	q := peer.DrainRequest{Op: op, All: f.all, Selection: records.Selection{Machines: f.machines, Zones: f.zones, Types: f.types}}
	switch {
	case f.spot && f.ordinary:
		return q, &settings.FieldError{Field: "spot", Problem: "cannot be asked for together with ordinary"}
	case f.spot || f.ordinary:
		q.Selection.Spot = &f.spot
	}
	if f.rentedBefore == "" {
		return q, nil
	}
	age, err := time.ParseDuration(f.rentedBefore)
	if err != nil {
		at, err := time.Parse(time.RFC3339, f.rentedBefore)
		if err != nil {
			return q, &settings.FieldError{Field: "rented-before", Problem: fmt.Sprintf("%q is neither a time nor a duration", f.rentedBefore)}
		}
		age = now.Sub(at)
	}
	if age <= 0 {
		return q, &settings.FieldError{Field: "rented-before", Problem: "must be in the past"}
	}
	q.RentedBeforeS = age.Seconds()
	return q, nil
}

// address is the controller that is asked.
func (f *drainFlags) address() (string, error) {
	switch {
	case f.controller != "" && f.config != "":
		return "", &settings.FieldError{Field: "controller", Problem: "cannot be given together with config"}
	case f.controller != "":
		return f.controller, nil
	case f.config == "":
		return "", &settings.FieldError{Field: "controller", Problem: "is missing; give --controller or --config"}
	}
	set, err := load.Settings(f.config, "")
	if err != nil {
		return "", err
	}
	return set.PeerAddr, nil
}

// ask makes a request and prints the answer.
func (f *drainFlags) ask(cmd *cobra.Command, q peer.DrainRequest) error {
	address, err := f.address()
	if err != nil {
		return err
	}
	client, err := peer.Dial(address)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), constants.DrainCallTimeout+constants.PeerTimeout)
	defer cancel()
	reply, err := client.Drain(ctx, q)
	switch {
	case errors.Is(err, peer.ErrNoDrains):
		return err
	case err != nil:
		return fmt.Errorf("%s of a drain at %s: %w", q.Op, address, err)
	case reply.Problem != nil:
		return reply.Problem
	}
	if f.json {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	printReply(cmd.OutOrStdout(), q.Op, &reply)
	return nil
}

// printReply writes an answer for people.
func printReply(out io.Writer, op peer.DrainOp, r *peer.DrainReply) {
	switch {
	case r.Status != nil:
		printStatus(out, r.Status)
		return
	case r.Plan != nil:
		printPlan(out, r)
	}
	if r.Number > 0 && op != peer.OpPlan {
		fmt.Fprintf(out, "drain %d: %s is written\n", r.Number, op)
	}
}

func printPlan(out io.Writer, r *peer.DrainReply) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SHARD\tMACHINES\tEMPTY\tMOVES\tARRAYS\tROUNDS")
	for _, s := range r.Plan.Shards {
		moves := 0
		for _, n := range s.Moves {
			moves = max(moves, n)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", s.Shard, s.Machines, s.Empty, moves, s.Arrays, s.Steps)
	}
	table.Flush()
	if r.Plan.Binding != "" {
		fmt.Fprintf(out, "at least %.0f s, under the budget of %s\n", r.Plan.MinimumS, r.Plan.Binding)
	}
	for _, zone := range r.Plan.Missing {
		fmt.Fprintf(out, "the owner of shard %s could not be asked\n", zone)
	}
	for _, s := range r.Plan.Shards {
		for _, x := range s.Obstacles {
			kind := "waits"
			if x.Permanent {
				kind = "never"
			}
			fmt.Fprintf(out, "%s: %s on %s: %s\n", kind, x.Job, x.Machine, x.Reason)
		}
	}
}

func printStatus(out io.Writer, s *peer.DrainStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DRAIN\tSTATE\tMACHINES\tLEFT\tSHARD\tLEFT\tCORDONED\tMOVING\tFAILED\tWAITS")
	for _, d := range s.Drains {
		first := fmt.Sprintf("%d\t%s\t%d\t%d", d.Number, d.State, d.Machines, d.Remaining)
		if len(d.Shards) == 0 {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t%s\n", first, d.StopReason)
		}
		for i, p := range d.Shards {
			waits := strings.TrimSpace(d.StopReason + " " + p.WaitingFor)
			if i > 0 {
				first = "\t\t\t"
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", first, p.Shard, p.Remaining, len(p.Cordoned), p.Moving, p.Failures, waits)
		}
	}
	for _, n := range s.Damaged {
		fmt.Fprintf(table, "%d\tdamaged\t\t\t\t\t\t\t\tits record cannot be read\n", n)
	}
	fmt.Fprintln(table, "\nBUDGET\tDOWN\tMOST\tTASKS")
	for _, u := range s.Budgets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", u.Budget, u.Unavailable, u.Limit, u.Tasks)
	}
	table.Flush()
}
