package trial_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/load"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

// TestMain runs up to four clusters in parallel; they are idle most of the time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testTimeout bounds a whole test.
const testTimeout = 90 * time.Second

const documentText = `
service = "tiny"
owner = "Tests"

[[account]]
name = "big"
weight = 2
max_jobs = 1000
guaranteed = [{ accelerators = 16, adjacent = "rack", count = 1 }]

[[account]]
name = "small"
max_jobs = 1000

[[class]]
name = "check"
kind = "quick"
deadline = "20s"
repeatable = true
retries = 2

[[class]]
name = "booking"
kind = "quick"
deadline = "20s"
repeatable = false

[[class]]
name = "long"
kind = "job"
repeatable = true
retries = 5
max_run = "1m"

[gang]
hold_timeout = "1s"
isolation_timeout = "2s"
loss_timeout = "12s"

[topology]
accelerators = 8
[[topology.zone]]
name = "z1"
racks = [4]
`

// Gangs that must not stop need a longer isolation timeout than the tests' document has: on a
// busy machine, agents may pause for its two seconds.
var (
	// defaultGangDocument is the tests' document with the default gang timeouts.
	defaultGangDocument = documentWithGang("")
	// outageDocument has timeouts that a store outage in a test can exceed.
	outageDocument = documentWithGang("[gang]\nisolation_timeout = \"6s\"\nloss_timeout = \"15s\"\n")
)

// outageLossTimeout is the loss timeout of outageDocument.
const outageLossTimeout = 15 * time.Second

// documentWithGang returns the tests' document with another gang section.
func documentWithGang(section string) []byte {
	before, _, _ := strings.Cut(documentText, "[gang]")
	_, after, _ := strings.Cut(documentText, "[topology]")
	return []byte(before + section + "[topology]" + after)
}

// testCluster is a cluster with the assertions and the context of its test.
type testCluster struct {
	*qt.C
	*trial.Cluster
	ctx context.Context
}

func startTestCluster(t *testing.T, change func(*trial.Options)) *testCluster {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	o := trial.Options{Document: []byte(documentText), ReportPeriod: 200 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	cluster, err := trial.New(ctx, o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	return &testCluster{C: c, Cluster: cluster, ctx: ctx}
}

// eventually retries until check returns nil.
func (tc *testCluster) eventually(check func() error) {
	tc.Helper()
	err := trial.WaitFor(tc.ctx, func(context.Context) error { return check() })
	tc.Assert(err, qt.IsNil)
}

// callResult is the result of a quick request for its caller.
type callResult struct {
	api.QuickResponse
	err error
}

// request sends a quick request; tag identifies it in the audits.
func (tc *testCluster) request(entry int, class, tag, key string, work time.Duration) callResult {
	a, err := tc.Entries[entry].Client().SendQuick(tc.ctx, api.QuickRequest{
		CallOptions: api.CallOptions{Account: "big", Class: class, IdempotencyKey: key},
		Service:     tc.Service,
		Path:        "consignment",
		RawQuery:    fmt.Sprintf("%s=%s&%s=%d", standin.ParamTag, tag, standin.ParamServiceTimeMS, work.Milliseconds()),
		Body:        []byte(tag),
	})
	return callResult{a, err}
}

// requestAsync calls request in the background.
func (tc *testCluster) requestAsync(entry int, class, tag, key string, work time.Duration) <-chan callResult {
	answers := make(chan callResult, 1)
	go func() { answers <- tc.request(entry, class, tag, key, work) }()
	return answers
}

// checkDone checks that the answer is complete and belongs to the request with this tag.
func (tc *testCluster) checkDone(a callResult, tag string) {
	tc.Helper()
	tc.Assert(a.err, qt.IsNil)
	tc.Assert(a.Outcome, qt.Equals, api.OutcomeDone, qt.Commentf("%s: %v", tag, a.Problem))
	var echo standin.Echo
	tc.Assert(json.Unmarshal(a.Body, &echo), qt.IsNil)
	tc.Check(echo.Sum, qt.Equals, echo.Checksum())
	tc.Check(echo.BodySum, qt.Equals, standin.BodySum([]byte(tag)))
}

// quickRuns returns the runs of a quick request in the audits, and the worker of each.
func (tc *testCluster) quickRuns(tag string) (runs []standin.QuickRun, workers []*trial.Worker) {
	for i, a := range tc.Audits() {
		for _, r := range a.Quick {
			if r.Tag == tag {
				runs = append(runs, r)
				workers = append(workers, tc.Workers[i])
			}
		}
	}
	return runs, workers
}

// awaitWorkerOf waits until a request has started and returns its worker.
func (tc *testCluster) awaitWorkerOf(tag string) *trial.Worker {
	tc.Helper()
	var worker *trial.Worker
	tc.eventually(func() error {
		_, workers := tc.quickRuns(tag)
		if len(workers) == 0 {
			return errors.New(tag + " has not started")
		}
		worker = workers[0]
		return nil
	})
	return worker
}

// submit submits a job; key is its idempotency key and its tag in the audits.
func (tc *testCluster) submit(entry int, account, key string, accelerators int, run time.Duration) string {
	tc.Helper()
	payload, err := json.Marshal(standin.TaskPayload{Tag: key, RunMS: run.Milliseconds()})
	tc.Assert(err, qt.IsNil)
	s, err := tc.Entries[entry].Client().SubmitJob(tc.ctx, tc.Service, api.JobRequest{
		Account:      account,
		Class:        "long",
		Accelerators: accelerators,
		Payload:      payload,
	}, key)
	tc.Assert(err, qt.IsNil)
	return s.ID
}

// awaitJob waits until the given entry reports the job in one of the states.
func (tc *testCluster) awaitJob(entry int, id string, states ...api.JobState) api.JobStatus {
	tc.Helper()
	var s api.JobStatus
	tc.eventually(func() error {
		var err error
		s, err = tc.Entries[entry].Client().GetJob(tc.ctx, tc.Service, id, 0)
		if err != nil {
			return err
		}
		for _, want := range states {
			if s.State == want {
				return nil
			}
		}
		return fmt.Errorf("job is %s (attempt %d): %s", s.State, s.Attempt, s.Detail)
	})
	return s
}

// jobAttempts returns the task runs of a job in the audits, by attempt.
func (tc *testCluster) jobAttempts(tag string) map[int][]standin.TaskRun {
	all := make(map[int][]standin.TaskRun)
	for _, a := range tc.Audits() {
		for _, r := range a.Tasks {
			if r.Tag == tag {
				all[r.Attempt] = append(all[r.Attempt], r)
			}
		}
	}
	return all
}

// checkRanOnce checks that exactly one attempt of a job completed with all its members, that
// no other attempt completed any, and that no two attempts of any job overlapped.
func (tc *testCluster) checkRanOnce(tag string) {
	tc.Helper()
	completeAttempts := 0
	for n, members := range tc.jobAttempts(tag) {
		done := 0
		for _, m := range members {
			if m.Outcome == target.TaskDone {
				done++
			}
		}
		switch done {
		case 0:
		case members[0].Members:
			completeAttempts++
		default:
			tc.Errorf("%s: attempt %d: %d of %d members done", tag, n, done, members[0].Members)
		}
	}
	tc.Check(completeAttempts, qt.Equals, 1, qt.Commentf("%s: completed attempts", tag))
	tc.Check(load.OverlappingAttempts(tc.Audits()), qt.HasLen, 0)
}

// checkNoViolations checks that no worker recorded a violation or dropped records.
func (tc *testCluster) checkNoViolations() {
	tc.Helper()
	for _, a := range tc.Audits() {
		tc.Check(a.Violations, qt.HasLen, 0)
		tc.Check(a.Dropped, qt.Equals, 0)
	}
}
