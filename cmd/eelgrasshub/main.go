// Command eelgrasshub is the one binary of the system: each role of a
// deployment, the operators' commands, and the stand-ins for trials are
// subcommands of it.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command ran and failed, or found a fault
	exitUsage  = 2 // the command line is wrong
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the command line and runs one subcommand. It returns the exit
// code.
func run(args []string) int {
	parser := newParser()
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	return exitCode(err)
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("eelgrasshub", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "scheduler of multi-accelerator jobs under client account guarantees"
	for _, c := range commands() {
		c.add(parser.Command)
	}
	return parser
}

func exitCode(err error) int {
	flagErr, isFlag := err.(*flags.Error)
	if isFlag && flagErr.Type == flags.ErrHelp {
		fmt.Println(flagErr.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "eelgrasshub: "+err.Error())
	if isFlag {
		return exitUsage
	}
	return exitFailed
}
