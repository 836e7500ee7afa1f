package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// configStatusCmd shows the active generation of each process.
type configStatusCmd struct {
	storeOptions
	Region string `long:"region" required:"true" value-name:"NAME" description:"region whose entries are queried"`
	Entry  string `long:"entry" value-name:"URL" description:"query only this entry; works while the store is unavailable"`
}

func configStatusCommand() command {
	return command{
		name:  "status",
		short: "show the active generation of each process, and since when",
		data:  &configStatusCmd{},
	}
}

// entryStatus is the status of one entry, or the error of the query.
type entryStatus struct {
	Name   string
	Status api.Status
	Err    error
}

// Execute implements flags.Commander.
func (c *configStatusCmd) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	if c.Entry != "" {
		return printStatus(os.Stdout, []entryStatus{queryEntry(ctx, c.Entry, c.Entry)})
	}
	store := c.client()
	defer store.Close()
	all := queryEntries(ctx, store, c.Region)
	if len(all) == 0 {
		return fmt.Errorf("no entry of region %q is registered, or the store is unavailable; select an entry with --entry", c.Region)
	}
	return printStatus(os.Stdout, all)
}

// queryEntries queries every entry that is registered in the region.
func queryEntries(ctx context.Context, store store.Store, region string) []entryStatus {
	registered, err := entry.ListRegistrations(ctx, store, region)
	if err != nil {
		return nil
	}
	var out []entryStatus
	for _, r := range registered {
		out = append(out, queryEntry(ctx, r.ID, "http://"+r.HTTP))
	}
	return out
}

func queryEntry(ctx context.Context, name, url string) entryStatus {
	s, err := api.NewClient(url, nil).Status(ctx)
	return entryStatus{Name: name, Status: s, Err: err}
}

func printStatus(out io.Writer, all []entryStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tSTATE\tSERVICE\tGENERATION\tSINCE")
	for _, e := range all {
		if e.Err != nil {
			fmt.Fprintf(w, "%s\tentry\tno answer: %v\t\t\t\n", e.Name, e.Err)
			continue
		}
		printEntry(w, e.Status)
	}
	return w.Flush()
}

func printEntry(w io.Writer, s api.Status) {
	state := "not ready"
	switch {
	case s.Draining:
		state = "draining"
	case s.Ready:
		state = "ready"
	}
	for _, g := range s.Generations {
		fmt.Fprintf(w, "%s\tentry\t%s\t%s\t%d\t%s\n", s.ID, state, g.Service, g.Generation, g.Since.Format(time.RFC3339))
	}
	for _, m := range s.Members {
		if m.Role == "agent" {
			fmt.Fprintf(w, "%s\tagent, by %s\t%s\t%s\t%d\t%s\n", m.ID, s.ID, m.State, m.Service, m.Generation, m.Since.Format(time.RFC3339))
		}
	}
}
