package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/attempts"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/target"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const testIncarnation = 7

// testTarget counts its runs and answers them when the test allows it.
type testTarget struct {
	runs    atomic.Int64
	started chan struct{} // receives one value per request that has started
	release chan struct{} // takes one value per request that may end
}

func (t *testTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	t.runs.Add(1)
	t.started <- struct{}{}
	<-t.release
	_, _ = w.Write(append([]byte("answer to "), body...))
}

func newTestExecutor(t *testing.T, slots int) (*quickExecutor, *testTarget) {
	backend := &testTarget{started: make(chan struct{}, 16), release: make(chan struct{}, 16)}
	server := httptest.NewServer(backend)
	client := target.NewClient(target.Options{BaseURL: server.URL})
	q := &quickExecutor{
		gate:          newAdmissionGate(admission.Options{Slots: slots}),
		targetClient:  client,
		accountWeight: func(string) int { return 1 },
		attempts: attempts.NewTable(attempts.TableConfig{
			Incarnation:    testIncarnation,
			MaxEntries:     100,
			MaxAnswerBytes: 1 << 20,
			MaxAge:         time.Minute,
			MaxClockSkew:   time.Minute,
		}),
		runningAttempts: make(map[attempts.ID]chan struct{}),
		observeDuration: func(string, string, metrics.Timing, time.Duration) {},
		now:             time.Now,
	}
	t.Cleanup(func() {
		close(backend.release)
		client.Close()
		server.Close()
		q.gate.stopTimer()
	})
	return q, backend
}

func newAttemptID(sequence uint64) attempts.ID {
	return attempts.ID{Issued: time.Now().UnixNano(), Entry: 1, Sequence: sequence, Incarnation: testIncarnation}
}

func executeMessage(id attempts.ID) *wire.Execute {
	return &wire.Execute{
		AttemptID: id.String(),
		RequestID: "r",
		Account:   "a",
		Class:     "c",
		Remaining: time.Minute,
		Method:    http.MethodPost,
		Path:      "book",
		Body:      []byte("pallet"),
	}
}

// An entry dies while its attempt runs. Another entry must get the answer of that run,
// and the request must not run twice.
func TestEntryDiesWhileAttemptRuns(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	id := newAttemptID(1)
	ctx, entryDies := context.WithCancel(context.Background())
	go q.execute(ctx, executeMessage(id))
	<-backend.started
	entryDies()

	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveAndWait(context.Background(), id.String(), time.Minute) }()
	backend.release <- struct{}{}
	r := <-resolved
	c.Assert(r.State, qt.Equals, wire.AttemptAnswered)
	c.Assert(string(r.Reply.Body), qt.Equals, "answer to pallet")
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}

// An entry dies while its attempt is queued. The attempt must not run, and must be
// reported as not run from then on.
func TestEntryDiesWhileAttemptQueued(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	go q.execute(context.Background(), executeMessage(newAttemptID(1)))
	<-backend.started // the only slot is in use

	id := newAttemptID(2)
	ctx, entryDies := context.WithCancel(context.Background())
	ended := make(chan *wire.ExecuteReply, 1)
	go func() { ended <- q.execute(ctx, executeMessage(id)) }()
	for _, queued := q.gate.depth(); queued == 0; _, queued = q.gate.depth() {
		time.Sleep(time.Millisecond)
	}
	entryDies()
	c.Assert((<-ended).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(q.resolveAndWait(context.Background(), id.String(), time.Minute).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), executeMessage(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}

// An attempt that arrives after it was resolved as not run must not run.
func TestResolveRefusesLateAttempt(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	id := newAttemptID(1)
	c.Assert(q.resolveAndWait(context.Background(), id.String(), 0).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), executeMessage(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(backend.runs.Load(), qt.Equals, int64(0))
}

// An attempt is resolved just before it arrives. Without the wait, two entries that
// deliver one request at the same time could each prevent the other's attempt.
func TestResolveWaitsForArrival(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	now := time.Now()
	q.now = func() time.Time { return now } // time stands still, so only the arrival ends the wait
	id := newAttemptID(1)
	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveAndWait(context.Background(), id.String(), time.Minute) }()
	go q.execute(context.Background(), executeMessage(id))
	<-backend.started
	backend.release <- struct{}{}
	c.Assert((<-resolved).State, qt.Equals, wire.AttemptAnswered)
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}
