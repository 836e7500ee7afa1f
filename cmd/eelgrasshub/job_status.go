package main

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// maxStatusWait is the longest wait of one status request.
const maxStatusWait = 10 * time.Second

// jobStatusCmd shows one job.
type jobStatusCmd struct {
	entryOptions
	Wait time.Duration `long:"wait" description:"wait up to this long for the job to end, and fail unless it is done"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

func jobStatusCommand() command {
	return command{name: "status", short: "show a job", data: &jobStatusCmd{}}
}

// Execute implements flags.Commander.
func (c *jobStatusCmd) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+commandTimeout)
	defer cancel()
	status, err := c.waitForEnd(ctx)
	if err != nil {
		return err
	}
	if err := printJSON(status); err != nil {
		return err
	}
	if c.Wait > 0 && status.State != api.JobDone {
		return fmt.Errorf("job %s is %s", status.ID, status.State)
	}
	return nil
}

// waitForEnd polls the status until the job has ended or c.Wait has passed.
func (c *jobStatusCmd) waitForEnd(ctx context.Context) (api.JobStatus, error) {
	deadline := time.Now().Add(c.Wait)
	for {
		remaining := max(time.Until(deadline), 0)
		status, err := c.client().GetJob(ctx, c.Service, c.Args.ID, min(remaining, maxStatusWait))
		if err != nil || status.State.Final() || remaining == 0 {
			return status, err
		}
	}
}
