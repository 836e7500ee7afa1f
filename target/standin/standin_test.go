package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// serveRequest serves a request without a socket, so that it runs in virtual time.
func serveRequest(s *Server, method, path string, body any) (target.TaskStatus, int) {
	data, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
	var st target.TaskStatus
	_ = json.Unmarshal(w.Body.Bytes(), &st)
	return st, w.Code
}

func newTaskSpec(runMS, leaseMS int64, accelerators ...int) target.TaskSpec {
	payload, _ := json.Marshal(TaskPayload{Tag: "t", RunMS: runMS, CheckpointEveryMS: 100})
	return target.TaskSpec{Members: 1, Accelerators: accelerators, Checkpointable: true, LeaseMS: leaseMS, Payload: payload}
}

func TestTaskCompletesAndResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{})
		spec := newTaskSpec(1000, 5000, 0, 1)
		_, code := serveRequest(s, "PUT", "/tasks/j/1", spec)
		c.Assert(code, qt.Equals, 200)
		time.Sleep(250 * time.Millisecond)
		st, _ := serveRequest(s, "GET", "/tasks/j/1", nil)
		c.Check(st.Checkpoint.ProgressMS, qt.Equals, int64(200))
		st, _ = serveRequest(s, "DELETE", "/tasks/j/1?checkpoint=true", nil)
		c.Check(st.State, qt.Equals, target.TaskStopped)
		c.Check(st.Checkpoint.ProgressMS, qt.Equals, int64(250))

		spec.Restore = st.Checkpoint
		_, _ = serveRequest(s, "PUT", "/tasks/j/2", spec)
		begin := time.Now()
		st, _ = serveRequest(s, "GET", "/tasks/j/2?wait_ms=10000", nil)
		c.Check(st.State, qt.Equals, target.TaskDone)
		c.Check(time.Since(begin), qt.Equals, 750*time.Millisecond)
		run := s.Audit().Tasks[1]
		c.Check([]int64{run.RestoredMS, run.ProgressMS}, qt.DeepEquals, []int64{250, 1000})
	})
}

func TestExpiredLeaseFreesAccelerators(t *testing.T) {
	// Accelerators must not stay occupied for good after an agent has died.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{})
		_, _ = serveRequest(s, "PUT", "/tasks/j/1", newTaskSpec(60_000, 1000, 3))
		time.Sleep(900 * time.Millisecond)
		_, _ = serveRequest(s, "POST", "/tasks/j/1/renew", target.LeaseRenewal{LeaseMS: 1000})
		time.Sleep(900 * time.Millisecond)
		st, _ := serveRequest(s, "GET", "/tasks/j/1", nil)
		c.Check(st.State, qt.Equals, target.TaskRunning)
		time.Sleep(200 * time.Millisecond)
		st, _ = serveRequest(s, "GET", "/tasks/j/1", nil)
		c.Check(st.State, qt.Equals, target.TaskExpired)
		_, code := serveRequest(s, "PUT", "/tasks/k/1", newTaskSpec(10, 1000, 3))
		c.Check(code, qt.Equals, 200)
		s.Close()
	})
}

func TestRefusedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{})
		first := newTaskSpec(1000, 5000, 0)
		first.Epoch = 7
		_, _ = serveRequest(s, "PUT", "/tasks/j/1", first)
		_, code := serveRequest(s, "PUT", "/tasks/j/1", first)
		c.Check(code, qt.Equals, 200, qt.Commentf("repeated start"))
		_, code = serveRequest(s, "PUT", "/tasks/j/1", newTaskSpec(1, 5000, 1))
		c.Check(code, qt.Equals, 409, qt.Commentf("different task under the same ID"))
		_, code = serveRequest(s, "PUT", "/tasks/k/1", newTaskSpec(1000, 5000, 0))
		c.Check(code, qt.Equals, 409, qt.Commentf("accelerator in use"))
		_, code = serveRequest(s, "PUT", "/tasks/j/2", newTaskSpec(1000, 5000, 5))
		c.Check(code, qt.Equals, 409, qt.Commentf("older epoch"))
		_, _ = serveRequest(s, "GET", "/tasks?incarnation=4", nil)
		oldIncarnation, currentIncarnation := newTaskSpec(1000, 5000, 6), newTaskSpec(1000, 5000, 6)
		oldIncarnation.Incarnation, currentIncarnation.Incarnation = 3, 4
		_, code = serveRequest(s, "PUT", "/tasks/l/1", oldIncarnation)
		c.Check(code, qt.Equals, 409, qt.Commentf("earlier incarnation of the agent"))
		_, code = serveRequest(s, "PUT", "/tasks/m/1", currentIncarnation)
		c.Check(code, qt.Equals, 200, qt.Commentf("current incarnation of the agent"))
		a := s.Audit()
		c.Check(len(a.Tasks), qt.Equals, 2)
		c.Check(a.Violations[0].Kind, qt.Equals, ViolationTaskIDReused)
		c.Check(a.Violations[1].Kind, qt.Equals, ViolationAcceleratorShared)
		s.Close()
	})
}

func TestStartAfterStopDoesNotRun(t *testing.T) {
	// A start that arrives after its stop must not run part of a gang that was given up.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{})
		_, code := serveRequest(s, "DELETE", "/tasks/j/1", nil)
		c.Check(code, qt.Equals, 200)
		st, _ := serveRequest(s, "PUT", "/tasks/j/1", newTaskSpec(10, 1000, 0))
		c.Check(st.State, qt.Equals, target.TaskStopped)
		c.Check(len(s.Audit().Tasks), qt.Equals, 0)
	})
}

func TestRequestsBeyondSlotsRunSlower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1})
		begin := time.Now()
		done := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				serveRequest(s, "POST", "/requests/a?work_ms=100", nil)
				done <- time.Since(begin)
			}()
		}
		qt.Check(t, <-done, qt.Equals, 100*time.Millisecond)
		qt.Check(t, <-done, qt.Equals, 200*time.Millisecond)
	})
}

// waitForHang waits until a request hangs and wantRuns runs have ended.
func (s *Server) waitForHang(wantRuns int) {
	for {
		s.mu.Lock()
		hanging := s.protocolConns > 0 && len(s.quickRuns) == wantRuns && s.quickRunning == 0
		s.mu.Unlock()
		if hanging {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestQuickFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults     Faults
		err        error
		status     int
		runs       int
		cancelCall bool
	}{
		"none":            {Faults{}, nil, 200, 1, false},
		"fails all":       {Faults{FailQuick: true}, nil, 500, 1, false},
		"rejects":         {Faults{Reject: true}, target.ErrRefused, 0, 0, false},
		"cuts the body":   {Faults{CutBody: true}, target.ErrOutcomeUnknown, 0, 1, false},
		"hangs":           {Faults{Hang: true}, target.ErrOutcomeUnknown, 0, 0, true},
		"hangs after run": {Faults{HangAfterRun: true}, target.ErrOutcomeUnknown, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := New(Options{})
			s.SetFaults(tc.faults)
			srv := httptest.NewUnstartedServer(nil)
			srv.Config = s.HTTPServer()
			srv.Start()
			defer srv.Close()
			defer s.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tc.cancelCall {
				go func() {
					s.waitForHang(tc.runs)
					cancel()
				}()
			}
			client := target.NewClient(target.Options{BaseURL: srv.URL})
			defer client.Close()
			resp, err := client.Do(ctx, target.Request{RequestID: "r1", Attempt: 1, Method: "PUT", Path: "p", RawQuery: "tag=x&work_ms=0&pad=9", Body: []byte("b")})
			c.Check(errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(resp.Status, qt.Equals, tc.status)
			runs := s.Audit().Quick
			c.Assert(len(runs), qt.Equals, tc.runs)
			if tc.err == nil {
				var e Echo
				c.Assert(json.Unmarshal(resp.Body, &e), qt.IsNil)
				c.Check(e.Checksum(), qt.Equals, e.Sum)
				c.Check([]string{e.RequestID, e.Path, runs[0].Tag, runs[0].Checksum}, qt.DeepEquals, []string{"r1", "p", "x", e.Sum})
			}
		})
	}
}

func TestConnectionLimitViolationIsRecorded(t *testing.T) {
	s := New(Options{Connections: 1})
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = s.HTTPServer()
	srv.Start()
	defer srv.Close()
	for range 2 {
		client := target.NewClient(target.Options{BaseURL: srv.URL})
		defer client.Close()
		_, err := client.Capacity(context.Background())
		qt.Assert(t, err, qt.IsNil)
	}
	v := s.Audit().Violations
	qt.Assert(t, len(v), qt.Equals, 1)
	qt.Check(t, v[0].Kind, qt.Equals, ViolationTooManyConnections)
}

// Starts tasks at random and renews and stops them, in virtual time, and checks that the
// audit log shows no overlapping runs on an accelerator.
func TestRandomTasksNeverShareAccelerator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		s := New(Options{Accelerators: 3})
		for i := range 6000 {
			path := fmt.Sprintf("/tasks/j%d/1", rng.IntN(i/10+5))
			switch rng.IntN(4) {
			case 0, 1:
				serveRequest(s, "PUT", path, newTaskSpec(rng.Int64N(300), 1+rng.Int64N(200), rng.IntN(3)))
			case 2:
				serveRequest(s, "POST", path+"/renew", target.LeaseRenewal{LeaseMS: 100})
			case 3:
				serveRequest(s, "DELETE", path, nil)
			}
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
		s.Close()
		runs := s.Audit().Tasks
		qt.Assert(t, len(runs) > 200, qt.IsTrue, qt.Commentf("%d runs", len(runs)))
		lastEndByAccelerator := map[int]time.Time{}
		for _, r := range runs { // in order of their start
			a := r.Accelerators[0]
			qt.Assert(t, r.Start.Before(lastEndByAccelerator[a]), qt.IsFalse, qt.Commentf("%+v", r))
			qt.Assert(t, r.End.IsZero(), qt.IsFalse)
			lastEndByAccelerator[a] = r.End
		}
		for _, holder := range s.acceleratorHolders {
			qt.Assert(t, holder, qt.IsNil)
		}
	})
}
