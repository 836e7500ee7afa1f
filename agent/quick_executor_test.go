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
	running chan struct{} // one for each request that has begun
	answer  chan struct{} // one for each request that may end
}

func (s *testTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.runs.Add(1)
	s.running <- struct{}{}
	<-s.answer
	_, _ = w.Write(append([]byte("answer to "), body...))
}

func newTestQuick(t *testing.T, slots int) (*quick, *testTarget) {
	s := &testTarget{running: make(chan struct{}, 16), answer: make(chan struct{}, 16)}
	server := httptest.NewServer(s)
	client := target.NewClient(target.Options{BaseURL: server.URL})
	q := &quick{
		gate:    newGate(admission.Options{Slots: slots}),
		target:  client,
		weights: func(string) int { return 1 },
		table: attempts.NewTable(attempts.TableConfig{
			Incarnation:    testIncarnation,
			MaxEntries:     100,
			MaxAnswerBytes: 1 << 20,
			MaxAge:         time.Minute,
			MaxClockSkew:   time.Minute,
		}),
		running: make(map[attempts.ID]chan struct{}),
		observe: func(string, string, metrics.Timing, time.Duration) {},
		now:     time.Now,
	}
	t.Cleanup(func() {
		close(s.answer)
		client.Close()
		server.Close()
		q.gate.stop()
	})
	return q, s
}

func attemptID(sequence uint64) attempts.ID {
	return attempts.ID{Issued: time.Now().UnixNano(), Entry: 1, Sequence: sequence, Incarnation: testIncarnation}
}

func message(id attempts.ID) *wire.Execute {
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
func TestEntryGoneWhileRunning(t *testing.T) {
	c := qt.New(t)
	q, s := newTestQuick(t, 1)
	id := attemptID(1)
	ctx, die := context.WithCancel(context.Background())
	go q.execute(ctx, message(id))
	<-s.running
	die()

	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveName(context.Background(), id.String(), time.Minute) }()
	s.answer <- struct{}{}
	r := <-resolved
	c.Assert(r.State, qt.Equals, wire.AttemptAnswered)
	c.Assert(string(r.Reply.Body), qt.Equals, "answer to pallet")
	c.Assert(s.runs.Load(), qt.Equals, int64(1))
}

// An entry dies while the booking that it sent waits for a slot. Nobody waits for
// it any more, so it must not run, and whoever asks is told so for good.
func TestEntryGoneWhileQueued(t *testing.T) {
	c := qt.New(t)
	q, s := newTestQuick(t, 1)
	go q.execute(context.Background(), message(attemptID(1)))
	<-s.running // the only slot is taken

	id := attemptID(2)
	ctx, die := context.WithCancel(context.Background())
	ended := make(chan *wire.ExecuteReply, 1)
	go func() { ended <- q.execute(ctx, message(id)) }()
	for _, queued := q.gate.depth(); queued == 0; _, queued = q.gate.depth() {
		time.Sleep(time.Millisecond)
	}
	die()
	c.Assert((<-ended).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(q.resolveName(context.Background(), id.String(), time.Minute).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), message(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(s.runs.Load(), qt.Equals, int64(1))
}

// A question about an attempt overtakes the attempt. Once the agent has answered
// "not run", the attempt must not run when it arrives after all.
func TestQuestionForbidsLateAttempt(t *testing.T) {
	c := qt.New(t)
	q, s := newTestQuick(t, 1)
	id := attemptID(1)
	c.Assert(q.resolveName(context.Background(), id.String(), 0).State, qt.Equals, wire.AttemptNotRun)
	c.Assert(q.execute(context.Background(), message(id)).Outcome, qt.Equals, wire.OutcomeRefused)
	c.Assert(s.runs.Load(), qt.Equals, int64(0))
}

// Two entries deliver one booking at the same moment, and the second one's
// question about the first attempt arrives before the attempt. It waits for it:
// otherwise both deliveries forbid each other and the booking is not made.
func TestQuestionWaitsForArrival(t *testing.T) {
	c := qt.New(t)
	q, s := newTestQuick(t, 1)
	frozen := time.Now()
	q.now = func() time.Time { return frozen } // the wait has no end but the arrival
	id := attemptID(1)
	resolved := make(chan *wire.ResolveAttemptReply, 1)
	go func() { resolved <- q.resolveName(context.Background(), id.String(), time.Minute) }()
	go q.execute(context.Background(), message(id))
	<-s.running
	s.answer <- struct{}{}
	c.Assert((<-resolved).State, qt.Equals, wire.AttemptAnswered)
	c.Assert(s.runs.Load(), qt.Equals, int64(1))
}
