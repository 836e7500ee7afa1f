package main

import (
	"encoding/json"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// jobSubmitCmd submits one gang job.
type jobSubmitCmd struct {
	entryOptions
	Account      string        `long:"account" required:"true" description:"client account"`
	Class        string        `long:"class" required:"true" description:"class of work, as the document declares it"`
	Accelerators int           `long:"accelerators" default:"1" description:"size of the gang"`
	Adjacency    string        `long:"adjacency" default:"any" choice:"worker" choice:"rack" choice:"zone" choice:"any" description:"how close the accelerators must be"`
	Estimate     time.Duration `long:"estimate" description:"declared run time, such as 10m"`
	Payload      string        `long:"payload" value-name:"JSON" description:"payload, passed to the target unchanged"`
	Key          string        `long:"key" description:"idempotency key: a repeated submission returns the same job"`
}

func jobSubmitCommand() command {
	return command{name: "submit", short: "submit a gang job", data: &jobSubmitCmd{}}
}

// Execute implements flags.Commander.
func (c *jobSubmitCmd) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	req := api.JobRequest{
		Account:      c.Account,
		Class:        c.Class,
		Accelerators: c.Accelerators,
		Adjacency:    api.Adjacency(c.Adjacency),
		Estimate:     api.Duration(c.Estimate),
	}
	if c.Payload != "" {
		req.Payload = json.RawMessage(c.Payload)
	}
	status, err := c.client().SubmitJob(ctx, c.Service, req, c.Key)
	if err != nil {
		return err
	}
	return printJSON(status)
}
