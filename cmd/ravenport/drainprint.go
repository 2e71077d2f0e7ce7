package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"ravenport/drain"
	"ravenport/peer"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// printReply prints a reply as text for people to read.
func printReply(out io.Writer, op peer.DrainOp, reply *peer.DrainReply) {
	if reply.Status != nil {
		printStatus(out, reply.Status)
		return
	}
	if reply.Plan != nil {
		printPlan(out, reply.Plan)
	}
	if reply.Number > 0 && op != peer.OpPlan {
		fmt.Fprintf(out, "drain %d: %s is written\n", reply.Number, op)
	}
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

func printPlan(out io.Writer, plan *drain.Plan) {
	table := newTable(out)
	fmt.Fprintln(table, "SHARD\tMACHINES\tEMPTY\tMOVES\tARRAYS\tROUNDS")
	for _, shard := range plan.Shards {
		moves := 0
		for _, n := range shard.MovesByBudget {
			moves = max(moves, n)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", shard.Shard, shard.Machines, shard.EmptyMachines, moves, shard.ArrayTasks, shard.Rounds)
	}
	table.Flush()
	if plan.BindingBudget != "" {
		fmt.Fprintf(out, "at least %.0f s, under the budget of %s\n", plan.MinimumS, plan.BindingBudget)
	}
	for _, shard := range plan.MissingShards {
		fmt.Fprintf(out, "the owner of shard %s could not be asked\n", shard)
	}
	for _, shard := range plan.Shards {
		for _, obstacle := range shard.Obstacles {
			kind := "waits"
			if obstacle.IsPermanent {
				kind = "never"
			}
			fmt.Fprintf(out, "%s: %s on %s: %s\n", kind, obstacle.JobID, obstacle.Machine, obstacle.Reason)
		}
	}
}

func printStatus(out io.Writer, status *peer.DrainStatus) {
	table := newTable(out)
	fmt.Fprintln(table, "DRAIN\tSTATE\tMACHINES\tLEFT\tSHARD\tLEFT\tCORDONED\tMOVING\tFAILED\tWAITS")
	for _, d := range status.Drains {
		printDrain(table, d)
	}
	for _, number := range status.Unreadable {
		fmt.Fprintf(table, "%d\tdamaged\t\t\t\t\t\t\t\tits record cannot be read\n", number)
	}
	fmt.Fprintln(table, "\nBUDGET\tDOWN\tMOST\tTASKS")
	for _, usage := range status.Budgets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", usage.Budget, usage.Unavailable, usage.Limit, usage.Tasks)
	}
	table.Flush()
}

// printDrain prints the rows of one drain, one for each shard. The first row also shows the
// figures of the whole drain.
func printDrain(table io.Writer, d peer.DrainView) {
	wholeDrain := fmt.Sprintf("%d\t%s\t%d\t%d", d.Number, d.State, d.Machines, d.Remaining)
	if len(d.Shards) == 0 {
		fmt.Fprintf(table, "%s\t\t\t\t\t\t%s\n", wholeDrain, d.StopReason)
	}
	for i, shard := range d.Shards {
		if i > 0 {
			wholeDrain = "\t\t\t"
		}
		reason := strings.TrimSpace(d.StopReason + " " + shard.WaitingFor)
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", wholeDrain, shard.Shard, shard.Remaining, len(shard.Cordoned), shard.MovingTasks, shard.ConsecutiveFailures, reason)
	}
}
