package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// configPutCmd stores a new generation of a document.
type configPutCmd struct {
	storeOptions
	Base   int64  `long:"base" default:"-1" value-name:"N" description:"generation that was edited (default: the one in the line that config get wrote)"`
	Author string `long:"author" value-name:"NAME" description:"author of the change (default: the current user)"`
	Region string `long:"region" value-name:"NAME" description:"also query this region's entries for the active generation, to detect a store that was restored from a backup"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func configPutCommand() command {
	return command{
		name:  "put",
		short: "put a new generation of a document",
		long:  "The document is checked first. If another operator has changed it meanwhile, nothing is written and the difference is shown.",
		data:  &configPutCmd{},
	}
}

// Execute implements flags.Commander.
func (c *configPutCmd) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	base, text := splitGeneration(data)
	if c.Base >= 0 {
		base = uint64(c.Base)
	}
	doc, err := document.Check(c.Args.File, text, checkPlacement)
	if err != nil {
		return err
	}
	author, err := c.author()
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	store := c.client()
	defer store.Close()
	v, err := document.Put(ctx, store, document.Proposal{
		FileName:         c.Args.File,
		TOML:             text,
		BaseGeneration:   base,
		Author:           author,
		Token:            uuid.NewString(),
		CreatedAt:        time.Now(),
		ActiveGeneration: c.activeGeneration(ctx, store, doc.Service),
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s: generation %d accepted\n", v.Service, v.Generation)
	return nil
}

// author returns the name that other operators see in a conflict.
func (c *configPutCmd) author() (string, error) {
	if c.Author != "" {
		return c.Author, nil
	}
	u, err := user.Current()
	if err != nil {
		return "", fmt.Errorf("--author is required: the current user is unknown: %w", err)
	}
	return u.Username, nil
}

// activeGeneration returns the highest generation that an entry reports, or 0 if none can
// be queried.
func (c *configPutCmd) activeGeneration(ctx context.Context, store store.Store, service string) uint64 {
	if c.Region == "" {
		return 0
	}
	highest := uint64(0)
	for _, s := range queryEntries(ctx, store, c.Region) {
		for _, g := range s.Status.Generations {
			if g.Service == service {
				highest = max(highest, g.Generation)
			}
		}
	}
	return highest
}
