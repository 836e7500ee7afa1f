package main

import (
	"testing"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain runs the test binary as the program when a script executes eelgrasshub.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"eelgrasshub": main})
}

// TestScript runs the scenarios with separate processes. Each script starts, polls and
// stops its own processes, which share a key that no other script has.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			env.Values[requestsKey{}] = make(map[string]*pendingRequest)
			env.Setenv("CLUSTER_KEY", "a key for tests only: "+uuid.NewString())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addr":      addrCmd,
			"terminate": terminateCmd,
			"signal":    signalCmd,
			"expand":    expandCmd,
			"settings":  settingsCmd,
			"exits":     exitsCmd,
			"poll":      pollCmd,
			"fetch":     fetchCmd,
			"request":   requestCmd,
			"answer":    answerCmd,
			"jsonenv":   jsonenvCmd,
			"apart":     apartCmd,
			"whole":     wholeCmd,
			"ran":       ranCmd,
		},
	})
}
