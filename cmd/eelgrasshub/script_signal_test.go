package main

import (
	"os/exec"
	"slices"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// signalsByName are those that scripts may send, by name.
var signalsByName = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"KILL": syscall.SIGKILL,
}

// signalCmd sends a signal to those processes that the script has started with
// ARG among their arguments, such as the name of a settings file. A script that
// passes has to wake or kill what it has stopped, or its end is waited for in vain:
// signal NAME ARG...
func signalCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "signal STOP|CONT|KILL ARG...")
	sig, ok := signalsByName[args[0]]
	if !ok {
		ts.Fatalf("no signal %q", args[0])
	}
	for _, arg := range args[1:] {
		cmd := processWithArg(ts, arg)
		ts.Check(cmd.Process.Signal(sig))
		if sig == syscall.SIGSTOP {
			// One that fails leaves it stopped.
			ts.Defer(func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
		}
	}
}

// processWithArg is the one process of the script that has the argument.
func processWithArg(ts *testscript.TestScript, arg string) *exec.Cmd {
	var found []*exec.Cmd
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, arg) {
			found = append(found, cmd)
		}
	}
	if len(found) != 1 {
		ts.Fatalf("%d processes were started with %q, want one", len(found), arg)
	}
	return found[0]
}
