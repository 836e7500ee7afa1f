package main

import (
	"os/exec"
	"slices"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// signalsByName are the signals that scripts may send.
var signalsByName = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"KILL": syscall.SIGKILL,
}

// signalCmd sends a signal to the processes that the script has started with ARG among
// their arguments. A script must continue or kill every process that it has stopped, since
// its end waits for them: signal NAME ARG...
func signalCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "signal STOP|CONT|KILL ARG...")
	sig, ok := signalsByName[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %q", args[0])
	}
	for _, arg := range args[1:] {
		cmd := processWithArg(ts, arg)
		ts.Check(cmd.Process.Signal(sig))
		if sig == syscall.SIGSTOP {
			// A script that fails may leave the process stopped.
			ts.Defer(func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
		}
	}
}

// processWithArg returns the only process of the script that has the argument.
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
