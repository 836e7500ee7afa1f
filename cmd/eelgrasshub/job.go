package main

import (
	"encoding/json"
	"os"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// entryOptions select the entry, or the load balancer, and the service.
type entryOptions struct {
	Entry   string `long:"entry" required:"true" value-name:"URL" description:"base URL of an entry or of the load balancer"`
	Service string `long:"service" required:"true" value-name:"NAME" description:"service that the job belongs to"`
}

func (o entryOptions) client() *api.Client {
	return api.NewClient(o.Entry, nil)
}

func jobCommands() command {
	return command{
		name:  "job",
		short: "submit, follow and cancel gang jobs",
		subcommands: []command{
			jobSubmitCommand(),
			jobStatusCommand(),
			jobCancelCommand(),
		},
	}
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
