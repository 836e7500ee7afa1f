package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"time"

	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// loadCmd runs a workload file against entries.
type loadCmd struct {
	Entries  []string      `long:"entry" required:"true" value-name:"URL" description:"base URL of an entry; may be repeated, to distribute requests in turn"`
	Targets  []string      `long:"target" value-name:"URL" description:"base URL of a target stand-in to audit; all targets of the service must be given"`
	Seed     uint64        `long:"seed" value-name:"N" description:"seed of the schedule (default: that of the file)"`
	Duration time.Duration `long:"duration" value-name:"D" description:"time over which the load arrives (default: that of the file)"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func loadCommand() command {
	return command{
		name:  "load",
		short: "run a workload file against entries",
		long:  "Prints the results as seen by callers. If target stand-ins are given, the results are audited against what actually ran, and any contradiction fails the command.",
		data:  &loadCmd{},
	}
}

// errContradictions is returned if the audit contradicts what callers were told.
var errContradictions = errors.New("audit failed: reported outcomes contradict what ran")

// Execute implements flags.Commander.
func (c *loadCmd) Execute([]string) error {
	plan, err := load.ReadPlan(c.Args.File)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	if c.Duration != 0 {
		plan.Duration = load.Duration(c.Duration)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := load.Run(ctx, plan, c.Entries)
	if err != nil {
		return err
	}
	var findings load.Findings
	if len(c.Targets) > 0 {
		if findings, err = c.audit(ctx, result); err != nil {
			return err
		}
	}
	if err := load.WriteReport(os.Stdout, result, findings, load.Samples{}); err != nil {
		return err
	}
	if !findings.Clean() {
		return errContradictions
	}
	return nil
}

// audit compares the result with the audit logs of the target stand-ins.
func (c *loadCmd) audit(ctx context.Context, r load.Result) (load.Findings, error) {
	var audits []standin.Audit
	for _, url := range c.Targets {
		a, err := load.FetchAudit(ctx, url)
		if err != nil {
			return load.Findings{}, err
		}
		audits = append(audits, a)
	}
	return load.Audit(r, audits), nil
}
