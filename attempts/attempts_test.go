package attempts

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testStart = time.Unix(20000, 0)

func newTestTable() *Table {
	return NewTable(TableConfig{
		Incarnation:    1,
		MaxEntries:     3,
		MaxAnswerBytes: 10,
		MaxAge:         time.Minute,
		MaxClockSkew:   time.Second,
	})
}

func testID(n uint64) ID { return ID{testStart.UnixNano() + int64(n), 1, n, 1} }

func testClaim(n uint64) Claim { return Claim{ID: testID(n), Agent: "a", Fingerprint: 7} }

func newTestRequest(first bool) *Request {
	return NewRequest(RequestConfig{
		HasKey:        true,
		FirstDelivery: first,
		Deadline:      testStart.Add(10 * time.Second),
		PollInterval:  time.Second,
		RetryAfter:    5 * time.Second,
		MaxAge:        time.Minute,
	}, testClaim(1))
}

// handleEvents passes the events to the request one second apart and returns the first
// action of the last one.
func handleEvents(r *Request, events ...Event) Action {
	var last []Action
	for i, ev := range events {
		last = r.Step(testStart.Add(time.Duration(i)*time.Second), ev)
	}
	if len(last) == 0 {
		return nil
	}
	return last[0]
}

// Guards against a second run, or a wrong answer, when a caller delivers a key again
// through another entry.
func TestRetryThroughAnotherEntry(t *testing.T) {
	conflict := ClaimReply{ClaimConflict, testClaim(2)}
	unknown := Finished{Outcome: Unknown, Reason: ReasonOutcomeLost}
	for _, test := range []struct {
		name   string
		events []Event
		want   Action
	}{
		{"first delivery has the answer", []Event{Start{}, conflict, ResolveReply{testID(2), StatusAnswered, []byte("yes")}}, Finished{Outcome: Done, Answer: []byte("yes")}},
		{"first delivery still runs", []Event{Start{}, conflict, ResolveReply{testID(2), StatusRunning, nil}, Wake{}}, SendResolve{testClaim(2)}},
		{"first delivery never arrived", []Event{Start{}, conflict, ResolveReply{testID(2), StatusNotRun, nil}}, ReplaceClaim{testClaim(2), testClaim(1)}},
		{"third delivery replaced the claim", []Event{Start{}, conflict, ResolveReply{testID(2), StatusNotRun, nil}, ClaimReply{ClaimConflict, testClaim(3)}}, SendResolve{testClaim(3)}},
		{"agent restarted", []Event{Start{}, conflict, ResolveReply{testID(2), StatusUnknown, nil}}, unknown},
		{"answer was evicted", []Event{Start{}, conflict, ResolveReply{testID(2), StatusRan, nil}}, unknown},
		{"key of another request", []Event{Start{}, ClaimReply{ClaimConflict, Claim{ID: testID(2)}}}, Finished{Outcome: NotRun, Reason: ReasonKeyReused}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, handleEvents(newTestRequest(false), test.events...), qt.DeepEquals, test.want)
		})
	}
}

// Guards against NotRun while the store is unavailable, unless the delivery is known
// to be the first: an earlier one may have run.
func TestStoreUnavailable(t *testing.T) {
	for first, want := range map[bool]Outcome{true: NotRun, false: Unknown} {
		got := handleEvents(newTestRequest(first), Start{}, ClaimReply{Result: ClaimUnavailable})
		qt.Assert(t, got, qt.DeepEquals, Action(Finished{
			Outcome:    want,
			Reason:     ReasonStoreUnavailable,
			RetryAfter: 5 * time.Second,
		}))
	}
}

// Guards against NotRun after a refusal if another delivery has replaced the claim and
// runs. The caller must get that delivery's answer.
func TestRefusedWhileAnotherDeliveryRuns(t *testing.T) {
	c := qt.New(t)
	r := newTestRequest(true)
	got := handleEvents(r, Start{}, ClaimReply{Result: ClaimWritten}, BeginReply{ID: testID(1), Result: BeginRefuse})
	c.Assert(got, qt.Equals, Action(ReleaseClaim{testClaim(1)}))
	got = handleEvents(r, ClaimReply{ClaimConflict, testClaim(2)}, ResolveReply{testID(2), StatusAnswered, []byte("yes")})
	c.Assert(got, qt.DeepEquals, Action(Finished{Outcome: Done, Answer: []byte("yes")}))
}

// Guards against sending an attempt again after its connection is lost. The agent is
// asked instead, and without a reply the outcome is Unknown at the deadline.
func TestLostConnectionIsResolved(t *testing.T) {
	c := qt.New(t)
	r := newTestRequest(true)
	got := handleEvents(r, Start{}, ClaimReply{Result: ClaimWritten}, ConnectionLost{testID(1)})
	c.Assert(got, qt.Equals, Action(SendResolve{testClaim(1)}))
	got = r.Step(testStart.Add(10*time.Second), Wake{})[0]
	c.Assert(got, qt.DeepEquals, Action(Finished{Outcome: Unknown, Reason: ReasonDeadline}))
}

// Guards against a run, or NotRun, by a delivery whose entry was paused so long that an
// earlier claim of the key may have run and expired.
func TestClaimAfterLongPause(t *testing.T) {
	c := qt.New(t)
	late := testStart.Add(2 * time.Minute)
	r := newTestRequest(false)
	r.Step(testStart, Start{})
	got := r.Step(late, ClaimReply{Result: ClaimWritten})[0]
	c.Assert(got, qt.DeepEquals, Action(Finished{Outcome: Unknown, Reason: ReasonDeadline}))

	result, _ := newTestTable().Begin(late, testID(1))
	c.Assert(result, qt.Equals, BeginRefuse)
	r = newTestRequest(false)
	handleEvents(r, Start{}, ClaimReply{Result: ClaimWritten})
	r.Step(testStart.Add(2*time.Second), BeginReply{ID: testID(1), Result: BeginRefuse})
	got = r.Step(late, ClaimReply{Result: ClaimWritten})[0]
	c.Assert(got.(Finished).Outcome, qt.Equals, Unknown)
}

// Guards against a second run, or NotRun, of an attempt whose record or answer was
// evicted.
func TestEvictedRecordsAreNeverNotRun(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	for n := uint64(1); n <= 4; n++ {
		result, _ := table.Begin(testStart, testID(n))
		c.Assert(result, qt.Equals, BeginRun)
		table.RecordAnswer(testID(n), []byte("four"))
	}
	c.Assert(table.Len(), qt.Equals, 3)
	c.Assert(table.AnswerBytes(), qt.Equals, 8)
	status, _ := table.Resolve(testID(1)) // evicted
	c.Assert(status, qt.Equals, StatusUnknown)
	result, _ := table.Begin(testStart, testID(1))
	c.Assert(result, qt.Equals, BeginUnknown)
	status, _ = table.Resolve(testID(2)) // its answer was evicted
	c.Assert(status, qt.Equals, StatusRan)
	status, answer := table.Resolve(testID(4))
	c.Assert(status, qt.Equals, StatusAnswered)
	c.Assert(string(answer), qt.Equals, "four")
}

// Guards against running an attempt that was refused for lack of capacity after the
// capacity is free again.
func TestRefusalIsPermanent(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	for n := uint64(1); n <= 3; n++ {
		table.Begin(testStart, testID(n))
	}
	result, _ := table.Begin(testStart, testID(4))
	c.Assert(result, qt.Equals, BeginRefuse)
	table.RecordNotRun(testID(1))
	result, _ = table.Begin(testStart, testID(4))
	c.Assert(result, qt.Not(qt.Equals), BeginRun)
	result, _ = table.Begin(testStart, testID(2))
	c.Assert(result, qt.Equals, BeginJoin)
	table.RecordAnswer(testID(2), []byte("a"))
	result, _ = table.Begin(testStart, testID(2))
	c.Assert(result, qt.Equals, BeginReplay)
}

// Guards against an entry whose clock is ahead: evicting a record of its attempt would
// make the agent refuse the attempts of all others.
func TestAttemptIssuedInFutureIsRefused(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	inFuture := ID{testStart.Add(time.Hour).UnixNano(), 1, 1, 1}
	result, _ := table.Begin(testStart, inFuture)
	c.Assert(result, qt.Equals, BeginUnknown)
	status, _ := table.Resolve(inFuture)
	c.Assert(status, qt.Equals, StatusNotRun)
	for n := uint64(1); n <= 5; n++ {
		result, _ = table.Begin(testStart, testID(n))
		c.Assert(result, qt.Equals, BeginRun)
		table.RecordAnswer(testID(n), nil)
	}
}

// Guards against Unknown when two deliveries forbid each other's attempt and both
// remove the claim: both attempts are proved not to have run.
func TestClaimGoneAfterProofIsNotRun(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	own := Claim{ID: ID{Issued: now.UnixNano(), Entry: 1, Sequence: 1, Incarnation: 7}, Agent: "a"}
	r := NewRequest(RequestConfig{HasKey: true, Deadline: now.Add(time.Second), PollInterval: time.Second, MaxAge: time.Minute}, own)
	r.Step(now, Start{})
	r.Step(now, ClaimReply{Result: ClaimWritten})
	r.Step(now, BeginReply{ID: own.ID, Result: BeginRefuse})
	actions := r.Step(now, ClaimReply{Result: ClaimGone})
	c.Assert(actions[0].(Finished).Outcome, qt.Equals, NotRun)
}
