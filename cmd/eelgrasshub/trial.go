package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/eelgrasshub/eelgrasshub"
	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

// trialCmd runs the sample services in one process.
type trialCmd struct {
	Service  string        `long:"service" value-name:"NAME" choice:"dispatch" choice:"slotbook" description:"run this sample service only"`
	Faults   bool          `long:"faults" description:"inject failures during the run: of agents, entries, the store, connections and targets"`
	Seed     uint64        `long:"seed" value-name:"N" description:"seed of the load's schedule (default: that of the workload file)"`
	Duration time.Duration `long:"duration" value-name:"D" description:"time over which the load arrives (default: that of the workload file)"`
	LogLevel string        `long:"log-level" default:"error" description:"minimum level of the processes' log lines"`
}

func trialCommand() command {
	return command{
		name:  "trial",
		short: "run all roles in this process on the sample services, and audit them",
		long:  "Runs both sample services one after the other, each with 11 workers, 2 entries and a store stand-in, over loopback sockets, for about a minute in all. Prints the results as seen by callers and any contradictions to what the workers actually ran; fails if there are any.",
		data:  &trialCmd{},
	}
}

// sample is a sample service with the files that configure it.
type sample struct {
	service, document, workload string
}

var samples = []sample{
	{"dispatch", "testdata/documents/dispatch.toml", "testdata/workloads/tidewater.toml"},
	{"slotbook", "testdata/documents/slotbook.toml", "testdata/workloads/peachline.toml"},
}

// Execute implements flags.Commander.
func (c *trialCmd) Execute([]string) error {
	failed := 0
	for _, s := range samples {
		if c.Service != "" && c.Service != s.service {
			continue
		}
		clean, err := c.run(s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.service, err)
		}
		if !clean {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("audit failed for %d services: reported outcomes contradict what ran", failed)
	}
	return nil
}

// run runs one service and reports whether the audit found no contradiction.
func (c *trialCmd) run(s sample) (bool, error) {
	options, err := c.options(s)
	if err != nil {
		return false, err
	}
	start := time.Now()
	result, err := trial.Run(context.Background(), options)
	if err != nil {
		return false, err
	}
	if err := load.WriteReport(os.Stdout, result.Result, result.Findings, result.Samples); err != nil {
		return false, err
	}
	fmt.Printf("took %s, seed %d\n\n", time.Since(start).Round(time.Second), options.Plan.Seed)
	return result.Findings.Clean(), nil
}

func (c *trialCmd) options(s sample) (trial.RunOptions, error) {
	text, err := eelgrasshub.Samples.ReadFile(s.workload)
	if err != nil {
		return trial.RunOptions{}, err
	}
	plan, err := load.ParsePlan(s.workload, text)
	if err != nil {
		return trial.RunOptions{}, err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	if c.Duration != 0 {
		plan.Duration = load.Duration(c.Duration)
	}
	document, err := eelgrasshub.Samples.ReadFile(s.document)
	if err != nil {
		return trial.RunOptions{}, err
	}
	processes, err := newLog(c.LogLevel)
	if err != nil {
		return trial.RunOptions{}, err
	}
	faults, err := newLog("info")
	if err != nil {
		return trial.RunOptions{}, err
	}
	return trial.RunOptions{Document: document, Plan: plan, Faults: c.Faults, FaultLog: faults, ProcessLog: processes}, nil
}
