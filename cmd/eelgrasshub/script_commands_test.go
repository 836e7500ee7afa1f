package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrasshub/eelgrasshub/internal/testport"
)

const (
	// pollTimeout limits every wait of a script.
	pollTimeout = 30 * time.Second
	pollPeriod  = 50 * time.Millisecond
)

// addrCmd sets variables to loopback addresses whose port is free for TCP and UDP: addr
// NAME...
func addrCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 0, "addr NAME...")
	for _, name := range args {
		ts.Setenv(name, testport.Scripts.FreeAddr())
	}
}

// expandCmd expands the script's variables in files: expand FILE...
func expandCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 0, "expand FILE...")
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// settingsCmd writes NAME.toml from a template for each process. In the template, $ID is
// the name, and $X is the script's variable X_NAME or, if that is empty, X: settings
// TEMPLATE NAME...
func settingsCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "settings TEMPLATE NAME...")
	template := ts.ReadFile(args[0])
	for _, name := range args[1:] {
		text := os.Expand(template, func(key string) string { return processVariable(ts, name, key) })
		ts.Check(os.WriteFile(ts.MkAbs(name+".toml"), []byte(text), 0o644))
	}
}

// processVariable returns the value of a template variable for a process.
func processVariable(ts *testscript.TestScript, process, key string) string {
	if key == "ID" {
		return process
	}
	if value := ts.Getenv(key + "_" + process); value != "" {
		return value
	}
	return ts.Getenv(key)
}

// exitsCmd runs a program that must exit with the given code. Its output can be matched
// afterwards: exits CODE PROGRAM ARGS...
func exitsCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "exits CODE PROGRAM ARGS...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("%v: exit code %d, want %d", args[1:], got, want)
	}
}

// pollCmd runs a program until it succeeds and its output matches: poll REGEXP PROGRAM
// ARGS...
func pollCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "poll REGEXP PROGRAM ARGS...")
	want := regexp.MustCompile(args[0])
	retryUntilSuccess(ts, args, func() error {
		if err := ts.Exec(args[1], args[2:]...); err != nil {
			return err
		}
		if out := ts.ReadFile("stdout"); !want.MatchString(out) {
			return fmt.Errorf("output does not match:\n%s", out)
		}
		return nil
	})
}

// fetchCmd requests the URLs in turn until one returns 200 with a body that matches: fetch
// REGEXP URL...
func fetchCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 1, "fetch REGEXP URL...")
	want := regexp.MustCompile(args[0])
	next := 0
	retryUntilSuccess(ts, args, func() error {
		body, err := httpGet(args[1+next%(len(args)-1)])
		next++
		if err == nil && !want.Match(body) {
			err = fmt.Errorf("body does not match:\n%s", body)
		}
		return err
	})
}

func httpGet(url string) ([]byte, error) {
	client := http.Client{Timeout: pollTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}
	return body, err
}

// retryUntilSuccess calls attempt until it succeeds, and fails the script after
// pollTimeout.
func retryUntilSuccess(ts *testscript.TestScript, args []string, attempt func() error) {
	deadline := time.Now().Add(pollTimeout)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%q: no success within %s: %v", args, pollTimeout, err)
		}
		time.Sleep(pollPeriod)
	}
}

// jsonenvCmd sets a variable to a string in a JSON file. The parts of the path are field
// names and list indexes: jsonenv NAME FILE PATH
func jsonenvCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) == 3, "jsonenv NAME FILE PATH")
	var value any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &value))
	for _, part := range strings.Split(args[2], ".") {
		value = jsonElement(value, part)
	}
	text, ok := value.(string)
	if !ok {
		ts.Fatalf("%s: no string at %q", args[1], args[2])
	}
	ts.Setenv(args[0], text)
}

// jsonElement returns a field of an object or an element of a list, or nil.
func jsonElement(value any, name string) any {
	switch v := value.(type) {
	case map[string]any:
		return v[name]
	case []any:
		if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(v) {
			return v[i]
		}
	}
	return nil
}

// terminateCmd sends SIGTERM to every process that the script has started: terminate
func terminateCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) == 0, "terminate")
	for _, cmd := range ts.BackgroundCmds() {
		ts.Check(cmd.Process.Signal(syscall.SIGTERM))
	}
}

// checkUsage fails the script if the command is negated or its arguments are not ok.
func checkUsage(ts *testscript.TestScript, neg, ok bool, text string) {
	if neg || !ok {
		ts.Fatalf("usage: %s", text)
	}
}
