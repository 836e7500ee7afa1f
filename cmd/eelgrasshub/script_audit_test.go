package main

import (
	"context"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// apartCmd checks with the targets' audit logs that no two attempts of a job ran at the
// same time and that no worker reported a violation: apart URL...
func apartCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 0, "apart URL...")
	audits := fetchAudits(ts, args)
	for _, found := range load.OverlappingAttempts(audits) {
		ts.Fatalf("%s", found)
	}
	for _, a := range audits {
		if len(a.Violations) > 0 || a.Dropped > 0 {
			ts.Fatalf("%s: violations %+v, %d records dropped", a.WorkerName, a.Violations, a.Dropped)
		}
	}
}

// wholeCmd checks with the targets' audit logs that exactly one attempt of a job completed
// on any member, and that it completed on all: whole TAG URL...
func wholeCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "whole TAG URL...")
	done := make(map[int]int) // completed members by attempt
	members := 0
	for _, a := range fetchAudits(ts, args[1:]) {
		for _, run := range a.Tasks {
			if run.Tag == args[0] && run.Outcome == target.TaskDone {
				done[run.Attempt]++
				members = run.Members
			}
		}
	}
	if len(done) != 1 {
		ts.Fatalf("%s: want one completed attempt, got members by attempt: %v", args[0], done)
	}
	for attempt, n := range done {
		if n != members {
			ts.Fatalf("%s: attempt %d: %d of %d members done", args[0], attempt, n, members)
		}
	}
}

// ranCmd checks with the targets' audit logs how often a quick request ran: ran N TAG
// URL...
func ranCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 2, "ran N TAG URL...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	for _, a := range fetchAudits(ts, args[2:]) {
		for _, run := range a.Quick {
			if run.Tag == args[1] {
				got++
			}
		}
	}
	if got != want {
		ts.Fatalf("%s ran %d times, want %d", args[1], got, want)
	}
}

func fetchAudits(ts *testscript.TestScript, urls []string) []standin.Audit {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	var audits []standin.Audit
	for _, url := range urls {
		a, err := load.FetchAudit(ctx, url)
		ts.Check(err)
		audits = append(audits, a)
	}
	return audits
}
