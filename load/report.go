package load

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// WriteReport writes tables of the outcomes and times per client account and class, the
// samples if there are any, and the findings.
func WriteReport(w io.Writer, r Result, f Findings, s Samples) error {
	var buffer bytes.Buffer
	table := tabwriter.NewWriter(&buffer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s (%s): %d quick requests, %d jobs, sent at most %s late\n",
		r.Plan, r.Service, len(r.Quick), len(r.Jobs), formatMillis(r.MaxSendDelay))
	writeQuickTable(table, r.Quick)
	writeJobTable(table, r.Jobs)
	writeSamples(table, s)
	writeFindings(table, f)
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := w.Write(buffer.Bytes())
	return err
}

type accountClass struct {
	account string
	class   string
}

func compareAccountClasses(a, b accountClass) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.class, b.class))
}

func groupByAccountClass[T any](list []T, key func(*T) accountClass) ([]accountClass, map[accountClass][]*T) {
	groups := map[accountClass][]*T{}
	for i := range list {
		k := key(&list[i])
		groups[k] = append(groups[k], &list[i])
	}
	return slices.SortedFunc(maps.Keys(groups), compareAccountClasses), groups
}

func writeQuickTable(w io.Writer, list []QuickResult) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "account\tclass\tdone\tnot run\tunknown\tno answer\tp50\tp90\tp99")
	keys, groups := groupByAccountClass(list, func(q *QuickResult) accountClass { return accountClass{q.Account, q.Class} })
	for _, k := range keys {
		n := map[api.Outcome]int{}
		var latencies []time.Duration
		for _, q := range groups[k] {
			o := q.Outcome()
			n[o]++
			if o == api.OutcomeDone {
				latencies = append(latencies, q.Latency)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", k.account, k.class,
			n[api.OutcomeDone], n[api.OutcomeNotRun], n[api.OutcomeUnknown], n[""], formatPercentiles(latencies))
	}
}

func writeJobTable(w io.Writer, list []JobResult) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "account\tclass\tdone\tfailed\tcancelled\trejected\tunknown\tno end\tp50\tp90\tp99\tstart p50\tp90\tp99")
	keys, groups := groupByAccountClass(list, func(j *JobResult) accountClass { return accountClass{j.Account, j.Class} })
	for _, k := range keys {
		n := map[api.JobState]int{}
		var turnaroundTimes, startDelays []time.Duration
		for _, j := range groups[k] {
			n[finalState(j)]++
			if j.State == api.JobDone {
				turnaroundTimes = append(turnaroundTimes, j.TurnaroundTime)
			}
			if j.StartDelay > 0 {
				startDelays = append(startDelays, j.StartDelay)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", k.account, k.class,
			n[api.JobDone], n[api.JobFailed], n[api.JobCancelled], n[api.JobRejected],
			n[api.JobUnknown], n[""], formatPercentiles(turnaroundTimes), formatPercentiles(startDelays))
	}
}

// finalState returns the job's final state, or "" if it has none. A submission that was
// reported as not run counts as rejected.
func finalState(j *JobResult) api.JobState {
	switch {
	case j.State.Final():
		return j.State
	case j.ID != "":
		return ""
	case allReportedNotRun(j.Submissions):
		return api.JobRejected
	case outcomeOf(j.Submissions) == api.OutcomeUnknown:
		return api.JobUnknown
	}
	return ""
}

func writeSamples(w io.Writer, s Samples) {
	if n := len(s.Fragmentation); n > 0 {
		fmt.Fprintln(w, "fragmentation at\tfree\tstranded\twaiting")
		step := max(1, n/10)
		for i := 0; i < n; i += step {
			f := s.Fragmentation[i]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", f.At.Round(100*time.Millisecond), f.FreeAccelerators, f.StrandedAccelerators, f.WaitingJobs)
		}
		fmt.Fprintf(w, "stranded, mean over time\t%.2f accelerators\n", meanStranded(s.Fragmentation))
	}
	if len(s.Reclaims) > 0 {
		var startDelays []time.Duration
		honoured := 0
		for _, r := range s.Reclaims {
			if r.Honoured {
				honoured++
				startDelays = append(startDelays, r.StartDelay)
			}
		}
		fmt.Fprintln(w, "guarantees claimed\thonoured\tp50\tp90\tp99")
		fmt.Fprintf(w, "%d\t%d\t%s\n", len(s.Reclaims), honoured, formatPercentiles(startDelays))
	}
}

// meanStranded returns the average of the stranded accelerators, weighting each sample by the
// time until the next one.
func meanStranded(list []FragmentationSample) float64 {
	duration := list[len(list)-1].At - list[0].At
	if duration <= 0 {
		return float64(list[0].StrandedAccelerators)
	}
	weightedSum := 0.0
	for i := 1; i < len(list); i++ {
		weightedSum += float64(list[i-1].StrandedAccelerators) * float64(list[i].At-list[i-1].At)
	}
	return weightedSum / float64(duration)
}

func writeFindings(w io.Writer, f Findings) {
	fmt.Fprintln(w, "lost\tdoubled\tmisreported\tpartial gangs\tworker violations\taudits cut")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n", f.Lost.Count, f.DuplicateRuns.Count,
		f.Misreported.Count, f.PartialGangs.Count, f.Violations.Count, f.IncompleteAudits.Count)
	for _, kind := range []struct {
		name string
		Finding
	}{
		{"lost", f.Lost}, {"doubled", f.DuplicateRuns}, {"misreported", f.Misreported},
		{"partial", f.PartialGangs}, {"violation", f.Violations}, {"audit", f.IncompleteAudits},
	} {
		for _, e := range kind.Examples {
			fmt.Fprintf(w, "%s: %s\n", kind.name, e)
		}
	}
}

// formatPercentiles formats the 50th, 90th and 99th percentile by the nearest-rank method.
func formatPercentiles(list []time.Duration) string {
	if len(list) == 0 {
		return "-\t-\t-"
	}
	slices.Sort(list)
	atPercentile := func(p int) string { return formatMillis(list[(len(list)*p+99)/100-1]) }
	return atPercentile(50) + "\t" + atPercentile(90) + "\t" + atPercentile(99)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
