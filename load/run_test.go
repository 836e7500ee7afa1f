package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// fakeEntry forwards everything to one worker; a job's ID is its idempotency key.
type fakeEntry struct {
	worker *target.Client
	// reportsNotRun makes it answer "not run" to quick requests that ran.
	reportsNotRun bool
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, rest, _ := strings.Cut(r.URL.Path, "/v1/services/s/")
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case kind == "requests":
		e.serveQuick(w, r, name, body)
	case r.Method == http.MethodPost:
		id := target.TaskID{Job: r.Header.Get(api.HeaderIdempotencyKey), Attempt: 1}
		var req api.JobRequest
		_ = json.Unmarshal(body, &req)
		st, err := e.worker.StartTask(r.Context(), id, target.TaskSpec{Members: 1, LeaseMS: 60_000, Payload: req.Payload})
		e.writeJobStatus(w, http.StatusAccepted, st, err)
	default:
		st, err := e.worker.GetTask(r.Context(), target.TaskID{Job: name, Attempt: 1}, time.Second)
		e.writeJobStatus(w, http.StatusOK, st, err)
	}
}

func (e *fakeEntry) serveQuick(w http.ResponseWriter, r *http.Request, path string, body []byte) {
	call, _ := api.ParseCallOptions(r.Header)
	a, err := e.worker.Do(r.Context(), target.Request{RequestID: "r", Account: call.Account, Class: call.Class,
		Method: r.Method, Path: path, RawQuery: r.URL.RawQuery, Body: body})
	switch {
	case err != nil:
		api.NewProblem(api.ReasonOutcomeLost, err.Error()).WriteResponse(w)
	case e.reportsNotRun:
		api.NewProblem(api.ReasonRefused, "").WriteResponse(w)
	default:
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
		_, _ = w.Write(a.Body)
	}
}

func (e *fakeEntry) writeJobStatus(w http.ResponseWriter, status int, st target.TaskStatus, err error) {
	if err != nil {
		api.NewProblem(api.ReasonInternal, err.Error()).WriteResponse(w)
		return
	}
	state := api.JobRunning
	if st.State == target.TaskDone {
		state = api.JobDone
	}
	api.WriteJSON(w, status, api.JobStatus{ID: st.Job, State: state, Submitted: st.StartedAt, Started: st.StartedAt.Add(1)})
}

const runPlan = `
name = "n"
service = "s"
duration = "500ms"
drain = "1m"
[[quick]]
account = "a"
class = "c"
rate = 100.0
deadline = "30s"
work = { median = "1ms", sigma = 0.5, max = "5ms" }
[[job]]
account = "a"
class = "j"
rate = 20.0
run = { median = "10ms", sigma = 0.5, max = "50ms" }
sizes = [{ accelerators = 1, weight = 1 }]
repeatable = false
resent = 0.5
`

func runAgainstEntries(t *testing.T, reportsNotRun bool) (Result, Findings) {
	worker := standin.New(standin.Options{Name: "w"})
	workerServer := httptest.NewServer(worker)
	defer workerServer.Close()
	client := target.NewClient(target.Options{BaseURL: workerServer.URL})
	defer client.Close()
	entry := httptest.NewServer(&fakeEntry{client, reportsNotRun})
	defer entry.Close()
	downEntry := httptest.NewServer(nil)
	downEntry.Close()
	p, err := ParsePlan("p.toml", []byte(runPlan))
	qt.Assert(t, err, qt.IsNil)
	r, err := Run(context.Background(), p, []string{entry.URL, downEntry.URL})
	qt.Assert(t, err, qt.IsNil)
	a, err := FetchAudit(context.Background(), workerServer.URL)
	qt.Assert(t, err, qt.IsNil)
	return r, Audit(r, []standin.Audit{a})
}

func TestRunWithOneEntryDown(t *testing.T) {
	c := qt.New(t)
	r, f := runAgainstEntries(t, false)
	c.Check(f.Clean(), qt.IsTrue, qt.Commentf("%+v", f))
	c.Assert(len(r.Quick) > 0 && len(r.Jobs) > 0, qt.IsTrue)
	for _, q := range r.Quick {
		c.Check(q.Outcome(), qt.Equals, api.OutcomeDone)
	}
	for _, j := range r.Jobs {
		c.Check(j.State, qt.Equals, api.JobDone)
	}
	var out bytes.Buffer
	samples := Samples{
		Fragmentation: []FragmentationSample{{0, 8, 4, 1}, {time.Second, 8, 0, 0}, {4 * time.Second, 8, 0, 0}},
		Reclaims:      []ReclaimSample{{"a", time.Second, true}},
	}
	c.Assert(WriteReport(&out, r, f, samples), qt.IsNil)
	c.Check(out.String(), qt.Contains, "stranded, mean over time  1.00 accelerators")
	c.Check(out.String(), qt.Contains, "1000.0ms")
}

func TestAuditDetectsFalseNotRun(t *testing.T) {
	r, f := runAgainstEntries(t, true)
	qt.Check(t, f.Misreported.Count, qt.Equals, len(r.Quick))
}
