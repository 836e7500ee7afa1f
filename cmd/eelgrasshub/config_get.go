package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// generationPrefix begins the first line of a document written by "config get". From it,
// "config put" learns which generation was edited.
const generationPrefix = "# eelgrasshub generation "

// configGetCmd prints the document in the store.
type configGetCmd struct {
	storeOptions
	Output string `short:"o" long:"output" value-name:"FILE" description:"write to FILE instead of standard output"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
	} `positional-args:"true"`
}

func configGetCommand() command {
	return command{
		name:  "get",
		short: "print a service's document",
		long:  "The first line names the generation, so that config put knows which one was edited.",
		data:  &configGetCmd{},
	}
}

// Execute implements flags.Commander.
func (c *configGetCmd) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	store := c.client()
	defer store.Close()
	v, ok, err := document.Get(ctx, store, c.Args.Service)
	if err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("the store has no document of service %q; create it with config put", c.Args.Service)
	}
	text := []byte(generationPrefix + strconv.FormatUint(v.Generation, 10) + "\n" + string(v.TOML))
	if c.Output == "" {
		_, err = os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(c.Output, text, 0o644)
}

// splitGeneration removes the line that "config get" added and returns the generation in
// it, or 0 if there is none.
func splitGeneration(data []byte) (uint64, []byte) {
	line, rest, ok := strings.Cut(string(data), "\n")
	if !ok || !strings.HasPrefix(line, generationPrefix) {
		return 0, data
	}
	base, err := strconv.ParseUint(strings.TrimSpace(strings.TrimPrefix(line, generationPrefix)), 10, 64)
	if err != nil {
		return 0, data
	}
	return base, []byte(rest)
}
