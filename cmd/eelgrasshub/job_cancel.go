package main

// jobCancelCmd cancels jobs.
type jobCancelCmd struct {
	entryOptions
	Args struct {
		IDs []string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"true"`
}

func jobCancelCommand() command {
	return command{name: "cancel", short: "cancel jobs", data: &jobCancelCmd{}}
}

// Execute implements flags.Commander.
func (c *jobCancelCmd) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	resp, err := c.client().CancelJobs(ctx, c.Service, c.Args.IDs)
	if err != nil {
		return err
	}
	return printJSON(resp)
}
