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

// testTarget counts what it runs and answers when told to.
type testTarget struct {
	runs    atomic.Int64
	started chan struct{} // one for each request that has begun
	release chan struct{} // one for each request that may end
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

// An entry dies while the booking that it sent is running. The caller asks again
// through another entry, which asks the agent what became of the attempt: it gets
// the one run's whole answer, and nothing runs a second time.
func TestEntryDiesWhileAttemptRuns(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	id := newAttemptID(1)
	ctx, entryDies := context.WithCancel(context.Background())
	go q.execute(ctx, executeMessage(id))
	<-backend.started
	entryDies()

	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveByName(context.Background(), id.String(), time.Minute) }()
	backend.release <- struct{}{}
	r := <-resolved
	c.Assert(r.State, qt.Equals, wire.AttemptAnswered)
	c.Assert(string(r.Reply.Body), qt.Equals, "answer to pallet")
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}

// An entry dies while the booking that it sent waits for a slot. Nobody waits for
// it any more, so it must not run, and whoever asks is told so for good.
func TestEntryDiesWhileAttemptQueued(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	go q.execute(context.Background(), executeMessage(newAttemptID(1)))
	<-backend.started // the only slot is taken

	id := newAttemptID(2)
	ctx, entryDies := context.WithCancel(context.Background())
	ended := make(chan *wire.ExecuteReply, 1)
	go func() { ended <- q.execute(ctx, executeMessage(id)) }()
	for _, queued := q.gate.depth(); queued == 0; _, queued = q.gate.depth() {
		time.Sleep(time.Millisecond)
	}
	entryDies()
	c.Assert((<-ended).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(q.resolveByName(context.Background(), id.String(), time.Minute).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), executeMessage(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}

// A question about an attempt overtakes the attempt. Once the agent has answered
// "not run", the attempt must not run when it arrives after all.
func TestResolveRefusesLateAttempt(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	id := newAttemptID(1)
	c.Assert(q.resolveByName(context.Background(), id.String(), 0).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), executeMessage(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(backend.runs.Load(), qt.Equals, int64(0))
}

// Two entries deliver one booking at the same moment, and the second one's
// question about the first attempt arrives before the attempt. It waits for it:
// otherwise both deliveries forbid each other and the booking is not made.
func TestResolveWaitsForArrival(t *testing.T) {
	c := qt.New(t)
	q, backend := newTestExecutor(t, 1)
	now := time.Now()
	q.now = func() time.Time { return now } // the wait has no end but the arrival
	id := newAttemptID(1)
	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveByName(context.Background(), id.String(), time.Minute) }()
	go q.execute(context.Background(), executeMessage(id))
	<-backend.started
	backend.release <- struct{}{}
	c.Assert((<-resolved).State, qt.Equals, wire.AttemptAnswered)
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}
