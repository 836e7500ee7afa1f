package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// Guards against answering 404 for an accepted job while neither the store nor a planner
// can be asked.
func TestJobStatusWithoutStoreIsUnavailable(t *testing.T) {
	c := qt.New(t)
	kv := unavailableStore{}
	e := &Entry{jobs: jobs.NewStore("auckland", kv, nil)}
	e.registry = newRegistry(kv, nil, "auckland", entryRecord{}, nil)
	e.elections = newElections(e)
	w := httptest.NewRecorder()
	e.routes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, api.JobPath("dispatch", "a"), nil))
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get(api.HeaderOutcome), qt.Equals, string(api.OutcomeUnknown))
	c.Check(w.Header().Get(api.HeaderRetryAfter), qt.Not(qt.Equals), "")
}

// unavailableStore fails every read.
type unavailableStore struct{ store.Store }

func (unavailableStore) Get(context.Context, string) (store.KeyValue, bool, error) {
	return store.KeyValue{}, false, store.ErrUnavailable
}

// queuedStore returns a queued job for every id. Its swaps end with the given results, in
// order.
type queuedStore struct {
	store.Store // nil: leases and watches are not used here
	results     chan swapReply
}

type swapReply struct {
	store.SwapResult
	err error
}

func (s *queuedStore) Get(_ context.Context, key string) (store.KeyValue, bool, error) {
	value, err := json.Marshal(jobs.Record{ID: jobs.IDFromKey(key), Service: "dispatch", State: jobs.Queued})
	return store.KeyValue{Key: key, Value: value, Mod: 1}, true, err
}

func (s *queuedStore) Swap(context.Context, store.Swap) (store.SwapResult, error) {
	reply := <-s.results
	return reply.SwapResult, reply.err
}

func requestCancel(c *qt.C, method, path, body string, replies ...swapReply) *api.Problem {
	kv := &queuedStore{results: make(chan swapReply, len(replies))}
	for _, reply := range replies {
		kv.results <- reply
	}
	e := &Entry{jobs: jobs.NewStore("auckland", kv, kv)}
	w := httptest.NewRecorder()
	e.routes().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	var p api.Problem
	c.Assert(json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("%s", w.Body))
	c.Assert(w.Header().Get(api.HeaderOutcome), qt.Equals, string(p.Outcome()))
	c.Assert(p.RetryAfter > 0, qt.IsTrue)
	return &p
}

// Guards against answering "not run" for a cancellation that the store may have taken.
func TestCancelWithLostReplyIsUnknown(t *testing.T) {
	c := qt.New(t)
	path := api.JobPath("dispatch", "a")
	p := requestCancel(c, http.MethodDelete, path, "", swapReply{SwapResult: store.SwapResult{Unknown: true}})
	c.Check(p.Reason, qt.Equals, api.ReasonCancellationLost)
	c.Check(p.Outcome(), qt.Equals, api.OutcomeUnknown)
	p = requestCancel(c, http.MethodDelete, path, "", swapReply{err: store.ErrUnavailable})
	c.Check(p.Outcome(), qt.Equals, api.OutcomeNotRun)
}

// Guards against answering "not run" for a bulk request of which some jobs are or may be
// cancelled.
func TestPartialBulkCancelIsUnknown(t *testing.T) {
	c := qt.New(t)
	path := api.CancelPath("dispatch")
	p := requestCancel(c, http.MethodPost, path, `{"ids": ["a", "b"]}`,
		swapReply{SwapResult: store.SwapResult{Swapped: true}}, swapReply{err: store.ErrUnavailable})
	c.Check(p.Reason, qt.Equals, api.ReasonCancellationLost)
	c.Check(p.Detail, qt.Contains, "1 of the jobs are cancelled, 0 may be")
	p = requestCancel(c, http.MethodPost, path, `{"ids": ["a", "b"]}`,
		swapReply{err: store.ErrUnavailable}, swapReply{SwapResult: store.SwapResult{Unknown: true}})
	c.Check(p.Reason, qt.Equals, api.ReasonCancellationLost)
	c.Check(p.Detail, qt.Contains, "0 of the jobs are cancelled, 1 may be")
}
