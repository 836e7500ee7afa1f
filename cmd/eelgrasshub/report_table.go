package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

func printReport(out io.Writer, r api.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printHeading(w, r)
	printCapacity(w, r)
	printAccounts(w, r.Accounts)
	printClasses(w, r.Accounts)
	printWorkers(w, r.Workers)
	return w.Flush()
}

func printHeading(w io.Writer, r api.Report) {
	p := r.Planner
	fmt.Fprintf(w, "service %s, planned by entry %s in region %s since %s (epoch %d, generation %d)\n",
		r.Service, p.Entry, p.Region, formatTime(p.Since), p.Epoch, p.Generation)
	fmt.Fprintf(w, "as of %s, %s old; last decision %s\n", formatTime(r.CreatedAt), roundToMillis(r.Age), formatTime(r.DecidedAt))
	if r.Settling {
		fmt.Fprintln(w, "settling: the planner has just taken over, and records or workers are still arriving")
	}
	if r.StoreUnavailable {
		fmt.Fprintln(w, "the platform's store is unavailable: until it is back, only jobs with a permit start")
	}
}

func printCapacity(w io.Writer, r api.Report) {
	c := r.Capacity
	fmt.Fprintf(w, "\n%d workers, %d accelerators: %d free, %d of them reserved; fragmentation %.1f; %d evictions in progress\n",
		r.Workers.Usable, c.Accelerators, c.Free, c.Reserved, c.Fragmentation, c.Evicting)
	fmt.Fprintln(w, "\nADJACENT\tFREE IN ONE UNIT (UNITS)")
	for _, a := range []api.Adjacency{api.AdjacentWorker, api.AdjacentRack, api.AdjacentZone, api.AdjacentAny} {
		fmt.Fprintf(w, "%s\t%s\n", a, formatUnits(c.FreeUnits[a]))
	}
}

func formatUnits(units []api.FreeUnits) string {
	if len(units) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(units))
	for _, u := range units {
		parts = append(parts, fmt.Sprintf("%d (%d)", u.Free, u.Units))
	}
	return strings.Join(parts, ", ")
}

func printAccounts(w io.Writer, accounts []api.ReportAccount) {
	fmt.Fprintln(w, "\nACCOUNT\tGUARANTEED\tUSED\tBORROWED\tOWED\tEVICTIONS\tLOST ACCELERATOR SECONDS")
	for _, a := range accounts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\n", a.Account, a.Guaranteed, a.Used, a.Borrowed, a.Unplaced, a.Evictions, a.LostAcceleratorSeconds)
	}
}

func printClasses(w io.Writer, accounts []api.ReportAccount) {
	fmt.Fprintln(w, "\nACCOUNT\tCLASS\tRUNNING\tACCELERATORS\tWAITING\tACCELERATORS\tWITHHELD\tOLDEST\tWAITED P50\tP90\tP99\tSTARTS")
	for _, a := range accounts {
		for _, c := range a.Classes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%d\n", a.Account, c.Class,
				c.Running, c.RunningAccelerators, c.Waiting, c.WaitingAccelerators, c.Withheld, roundToMillis(c.LongestWait),
				roundToMillis(c.WaitTimes.P50), roundToMillis(c.WaitTimes.P90), roundToMillis(c.WaitTimes.P99), c.WaitTimes.Count)
		}
	}
}

func printWorkers(w io.Writer, all api.ReportWorkers) {
	fmt.Fprintln(w, "\nWORKERS\tCOUNT\tFIRST OF THEM")
	fmt.Fprintf(w, "quarantined\t%d\t%s\n", all.Quarantined.Count, workerList(all.Quarantined, func(n api.WorkerStatus) string {
		if n.Probing {
			return n.ID + " on probe"
		}
		return n.ID + " until " + formatTime(n.Until)
	}))
	fmt.Fprintf(w, "draining\t%d\t%s\n", all.Draining.Count, workerList(all.Draining, func(n api.WorkerStatus) string { return n.ID }))
	fmt.Fprintf(w, "lost\t%d\t%s\n", all.Lost.Count, workerList(all.Lost, func(n api.WorkerStatus) string {
		return n.ID + " since " + formatTime(n.Since)
	}))
}

// maxWorkersShown limits the workers in a row of the table; the JSON output has more.
const maxWorkersShown = 8

// workerList joins the descriptions of the first workers of a list.
func workerList(l api.WorkerList, text func(api.WorkerStatus) string) string {
	var parts []string
	for _, n := range l.Workers[:min(len(l.Workers), maxWorkersShown)] {
		parts = append(parts, text(n))
	}
	return strings.Join(parts, ", ")
}

func printJobReport(out io.Writer, r api.JobReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job\t%s\n", r.ID)
	fmt.Fprintf(w, "state\t%s\n", r.State)
	if r.Wait != nil {
		printWait(w, r.Wait)
	}
	fmt.Fprintf(w, "planned by\tentry %s since %s (epoch %d)\n", r.Planner.Entry, formatTime(r.Planner.Since), r.Planner.Epoch)
	fmt.Fprintf(w, "as of\t%s\n", formatTime(r.AnsweredAt))
	if !r.DecidedAt.IsZero() {
		fmt.Fprintf(w, "decided\t%s\n", formatTime(r.DecidedAt))
	}
	return w.Flush()
}

func printWait(w io.Writer, wait *api.JobWait) {
	fmt.Fprintf(w, "needs\t%d accelerators, adjacent: %s\n", wait.Accelerators, wait.Adjacency)
	fmt.Fprintf(w, "waits\t%s\n", wait.Reason)
	fmt.Fprintf(w, "because\t%s\n", wait.Explanation)
	if !wait.Until.IsZero() {
		fmt.Fprintf(w, "until\t%s\n", formatTime(wait.Until))
	}
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func roundToMillis(d api.Duration) time.Duration {
	return time.Duration(d).Round(time.Millisecond)
}
