package main

import (
	"context"
	"os"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// reportCmd shows the planner's report on a service, or why a job waits.
type reportCmd struct {
	Entry string `long:"entry" required:"true" value-name:"URL" description:"base URL of any entry of the region, or of the load balancer"`
	Job   string `long:"job" value-name:"ID" description:"explain why this job waits"`
	JSON  bool   `long:"json" description:"print JSON instead of tables"`
	Args  struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
	} `positional-args:"true"`
}

func reportCommand() command {
	return command{
		name:  "report",
		short: "show accounts, capacity and workers of a service, or why a job waits",
		long:  "Any entry answers, by querying the entry that plans the service. The command is read-only.",
		data:  &reportCmd{},
	}
}

// Execute implements flags.Commander.
func (c *reportCmd) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	client := api.NewClient(c.Entry, nil)
	if c.Job != "" {
		return c.printJob(ctx, client)
	}
	r, err := client.Report(ctx, c.Args.Service)
	if err != nil {
		return withRetryAdvice(err)
	}
	if c.JSON {
		return printJSON(r)
	}
	return printReport(os.Stdout, r)
}

func (c *reportCmd) printJob(ctx context.Context, client *api.Client) error {
	r, err := client.JobReport(ctx, c.Args.Service, c.Job)
	if err != nil {
		return withRetryAdvice(err)
	}
	if c.JSON {
		return printJSON(r)
	}
	return printJobReport(os.Stdout, r)
}
