package main

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// commandTimeout is the time limit of an operator's command.
const commandTimeout = 15 * time.Second

// storeOptions select the platform's store. Operators' commands access it directly, so
// that a document can be changed while no other process runs.
type storeOptions struct {
	Platform []string `long:"platform" required:"true" value-name:"URL" description:"base URL of the platform's store; may be repeated"`
}

func (o storeOptions) client() *store.Client {
	return store.NewClient(store.Options{Endpoints: o.Platform})
}

func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

func configCommands() command {
	return command{
		name:  "config",
		short: "check, read and change service documents",
		long:  "A service's document configures how its work is scheduled. These commands access the platform's store directly.",
		subcommands: []command{
			configCheckCommand(),
			configGetCommand(),
			configPutCommand(),
			configStatusCommand(),
		},
	}
}
