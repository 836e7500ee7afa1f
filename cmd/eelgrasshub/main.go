// Command eelgrasshub contains all roles of a deployment, the operators' commands and the
// stand-ins for trials as subcommands.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command failed or found an error
	exitUsage  = 2 // the command line is invalid
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the command line, runs a subcommand and returns the exit code.
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

// exitCode prints the error, or the help text, and returns the exit code.
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
