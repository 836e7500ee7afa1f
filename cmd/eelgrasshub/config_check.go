package main

import (
	"fmt"
	"os"

	"github.com/eelgrasshub/eelgrasshub/document"
)

// configCheckCmd validates documents without contacting any process.
type configCheckCmd struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

func configCheckCommand() command {
	return command{
		name:  "check",
		short: "check documents offline",
		long:  "Reports every problem of every file: syntax, ranges, and whether the guaranteed shapes fit together as blocks on the document's topology.",
		data:  &configCheckCmd{},
	}
}

// Execute implements flags.Commander.
func (c *configCheckCmd) Execute([]string) error {
	failed := 0
	for _, name := range c.Args.Files {
		if err := checkFile(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		fmt.Println(name + ": ok")
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d documents refused", failed, len(c.Args.Files))
	}
	return nil
}

func checkFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = document.Check(name, data, checkPlacement)
	return err
}
