package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// requestFlags are the flags of the scripts' request command.
type requestFlags struct {
	Entry   string `long:"entry" required:"true"`
	Service string `long:"service" required:"true"`
	Account string `long:"account" required:"true"`
	Class   string `long:"class" required:"true"`
	Key     string `long:"key"`
	Query   string `long:"query"`
	Args    struct {
		Name string `required:"true"`
	} `positional-args:"true"`
}

// requestsKey is the key of a script's requests among its values.
type requestsKey struct{}

// pendingRequest is a request that was sent. Its result may be read once done is closed.
type pendingRequest struct {
	done   chan struct{}
	answer api.QuickResponse
	err    error
}

// requestCmd sends a quick request without waiting for its answer: request --entry URL ...
// NAME
func requestCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) > 0, "request --entry=URL --service=S --account=A --class=C [--key=K] [--query=Q] NAME")
	var f requestFlags
	_, err := flags.NewParser(&f, flags.None).ParseArgs(args)
	ts.Check(err)
	request := &pendingRequest{done: make(chan struct{})}
	requestsOf(ts)[f.Args.Name] = request
	go func() {
		defer close(request.done)
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		request.answer, request.err = api.NewClient(f.Entry, nil).SendQuick(ctx, api.QuickRequest{
			CallOptions: api.CallOptions{Account: f.Account, Class: f.Class, IdempotencyKey: f.Key},
			Service:     f.Service,
			Path:        "check",
			RawQuery:    f.Query,
			Body:        []byte("consignment"),
		})
	}()
}

// answerCmd waits for the answer to a request, checks its outcome and writes its body to
// the file NAME: answer OUTCOME[|OUTCOME...] NAME
func answerCmd(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, len(args) == 2, "answer OUTCOME[|OUTCOME...] NAME")
	request := requestsOf(ts)[args[1]]
	if request == nil {
		ts.Fatalf("no request %q", args[1])
	}
	<-request.done // limited by the context of the request
	ts.Check(request.err)
	if got := string(request.answer.Outcome); !slices.Contains(strings.Split(args[0], "|"), got) {
		ts.Fatalf("outcome %q, want %q: %s", got, args[0], describeResponse(request.answer))
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), request.answer.Body, 0o644))
}

func describeResponse(a api.QuickResponse) string {
	if a.Problem != nil {
		return a.Problem.Error()
	}
	return fmt.Sprintf("status %d", a.Status)
}

// requestsOf returns the requests of the script by name.
func requestsOf(ts *testscript.TestScript) map[string]*pendingRequest {
	requests, ok := ts.Value(requestsKey{}).(map[string]*pendingRequest)
	if !ok {
		ts.Fatalf("Setup did not initialize the script's requests")
	}
	return requests
}
