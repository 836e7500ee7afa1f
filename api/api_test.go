package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUncertainReasonsHaveUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	mayHaveRun := []Reason{
		ReasonOutcomeLost, ReasonDeadlineWhileRunning, ReasonEarlierAttemptInDoubt,
		ReasonAcceptanceLost, ReasonCancellationLost, ReasonUnknownJob, ReasonJobStateUnavailable, ReasonInternal, "of-a-newer-entry", "",
	}
	for _, r := range mayHaveRun {
		c.Check(NewProblem(r, "").Outcome(), qt.Equals, OutcomeUnknown, qt.Commentf("%s", r))
	}
	for r, info := range reasons {
		c.Check(info.status >= 400, qt.IsTrue, qt.Commentf("%s", r))
		c.Check(info.outcome, qt.Not(qt.Equals), OutcomeDone, qt.Commentf("%s", r))
	}
}

func TestProblemRoundTrip(t *testing.T) {
	c := qt.New(t)
	p := NewRetryableProblem(ReasonQueueFull, "40 wait", 1500*time.Millisecond)
	p.RequestID = "r1"
	w := httptest.NewRecorder()
	p.WriteResponse(w)
	c.Check(w.Code, qt.Equals, http.StatusTooManyRequests)
	c.Check(w.Header().Get(HeaderRetryAfter), qt.Equals, "2")
	c.Check(w.Header().Get(HeaderOutcome), qt.Equals, "not-run")
	var back Problem
	c.Assert(json.Unmarshal(w.Body.Bytes(), &back), qt.IsNil)
	c.Check(&back, qt.DeepEquals, p)
}

func TestProblemRejectsContradictoryOutcome(t *testing.T) {
	var p Problem
	err := json.Unmarshal([]byte(`{"reason":"outcome-lost","outcome":"not-run"}`), &p)
	qt.Assert(t, err, qt.ErrorMatches, `.*outcome: "not-run" contradicts reason "outcome-lost"`)
}

func TestParseCallOptionsNamesHeader(t *testing.T) {
	for name, tc := range map[string]struct{ header, value, field string }{
		"no account":            {HeaderAccount, "", HeaderAccount},
		"long class":            {HeaderClass, strings.Repeat("c", MaxNameLen+1), HeaderClass},
		"deadline without unit": {HeaderDeadline, "5", HeaderDeadline},
		"deadline passed":       {HeaderDeadline, "-1s", HeaderDeadline},
		"repeatable misspelt":   {HeaderRepeatable, "no", HeaderRepeatable},
		"long key":              {HeaderIdempotencyKey, strings.Repeat("k", MaxIdempotencyKeyLen+1), HeaderIdempotencyKey},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			CallOptions{Account: "a", Class: "c"}.SetHeader(h)
			h.Set(tc.header, tc.value)
			_, p := ParseCallOptions(h)
			qt.Assert(t, p != nil, qt.IsTrue)
			qt.Check(t, p.Field, qt.Equals, tc.field)
			qt.Check(t, p.Outcome(), qt.Equals, OutcomeNotRun)
		})
	}
}

func TestCallOptionsRoundTrip(t *testing.T) {
	no := false
	want := CallOptions{Account: "a", Class: "c", Deadline: time.Second, Repeatable: &no, IdempotencyKey: "k"}
	h := http.Header{}
	want.SetHeader(h)
	got, p := ParseCallOptions(h)
	qt.Assert(t, p == nil, qt.IsTrue, qt.Commentf("%v", p))
	qt.Check(t, got, qt.DeepEquals, want)
}

func TestDecodeNamesTheField(t *testing.T) {
	for name, tc := range map[string]struct{ text, field string }{
		"misspelt":          {`{"repeatabel":false}`, "repeatabel"},
		"wrong type":        {`{"accelerators":"8"}`, "accelerators"},
		"two values":        {`{} {}`, "body"},
		"truncated":         {`{"account":"a"`, "body"},
		"no accelerators":   {`{"account":"a","class":"c"}`, "accelerators"},
		"invalid adjacency": {`{"account":"a","class":"c","accelerators":1,"adjacency":"near"}`, "adjacency"},
	} {
		t.Run(name, func(t *testing.T) {
			var r JobRequest
			p := Decode(strings.NewReader(tc.text), 1000, &r)
			if p == nil {
				p = r.Validate()
			}
			qt.Assert(t, p != nil, qt.IsTrue)
			qt.Check(t, p.Field, qt.Equals, tc.field)
		})
	}
}

func TestClientRequiresOutcomeHeader(t *testing.T) {
	// A load balancer may answer 503 while an entry still runs the request. Without an
	// outcome header, 503 must not be read as "not run", nor 200 as "done".
	for name, status := range map[string]int{"busy": 503, "fine": 200} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
			}))
			defer srv.Close()
			a, err := NewClient(srv.URL, nil).SendQuick(context.Background(), QuickRequest{Service: "s"})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, a.Outcome, qt.Equals, OutcomeUnknown)
		})
	}
}

func TestClientErrors(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(OutcomeDone))
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}))
	client := NewClient(srv.URL, nil)
	_, err := client.SendQuick(context.Background(), QuickRequest{Service: "s"})
	c.Check(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("incomplete body: %v", err))
	srv.Close()
	_, err = client.SubmitJob(context.Background(), "s", JobRequest{}, "")
	c.Check(errors.Is(err, ErrNotSent), qt.IsTrue, qt.Commentf("no listener: %v", err))
}
