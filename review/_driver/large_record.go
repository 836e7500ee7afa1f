package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

// valueBytes is value_bytes of the platform's store.
const valueBytes = 1 << 20

// boundedStore is the project's stand-in of the store, and refuses values of more than valueBytes.
type boundedStore struct {
	*standin.Store
	rec     *recorder
	front   *httptest.Server
	refused atomic.Int64
}

func newBoundedStore(rec *recorder) (*boundedStore, error) {
	s := &boundedStore{Store: standin.NewStore(), rec: rec}
	target, err := url.Parse("http://" + s.Store.Addr())
	if err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s.front = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/kv-txn" {
			raw, err := io.ReadAll(req.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			var txn struct {
				Puts []struct {
					Key   string `json:"key"`
					Value []byte `json:"value"`
				} `json:"puts"`
			}
			if json.Unmarshal(raw, &txn) == nil {
				for _, p := range txn.Puts {
					if len(p.Value) > valueBytes {
						if s.refused.Add(1) <= 5 {
							rec.log("store", "refuses a value of %d bytes for %s: value_bytes is %d", len(p.Value), p.Key, valueBytes)
						}
						writeReply(rw, http.StatusBadRequest, struct{}{})
						return
					}
				}
			}
			req.Body = io.NopCloser(bytes.NewReader(raw))
		}
		proxy.ServeHTTP(rw, req)
	}))
	return s, nil
}

// Addr returns the address of the store.
func (s *boundedStore) Addr() string { return strings.TrimPrefix(s.front.URL, "http://") }

// Close stops the store.
func (s *boundedStore) Close() {
	s.front.CloseClientConnections()
	s.Store.Close()
	s.front.Close()
}

func init() { cases["large-record"] = largeRecord }

const (
	largeOccurrences = 1440 // a day of minutes
	largeTasks       = 24
	largeTaskMs      = 400
)

func largeRecord(rec *recorder, binary string, trouble bool) (verdict, error) {
	store, err := newBoundedStore(rec)
	if err != nil {
		return nil, err
	}
	queues := []standin.Queue{{Name: "desk", Host: queueHost, Prefix: "/desk/", Priority: 1, MaxAttempts: 4}}
	if err := store.Configure(1, service, queues, apiKey); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, 3, peachline)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	occurrences := 60
	if trouble {
		occurrences = largeOccurrences
	}
	body := fmt.Sprintf(`{"spec":"ms=%d","start_at_ms":%d,"period_ms":60000,"repeat_count":%d,"steps":[{"count":%d,"cpu":100,"mem_mb":64,"est_runtime_ms":%d}]}`,
		largeTaskMs, time.Now().Add(-24*time.Hour).UnixMilli(), occurrences, largeTasks, largeTaskMs)
	if !f.submit("9e0f73c2a1b4d586", body) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		state := f.state("9e0f73c2a1b4d586")
		starts := 0
		for _, runs := range f.history() {
			starts += len(runs)
		}
		item, _ := store.Get("workloads/run/9e0f73c2a1b4d586")
		rec.log("state", "%q; %d starts, %d running; record of %d bytes", state, starts, f.tasksRunning(), len(item.Value))
		if state == "completed" || store.refused.Load() > 0 {
			break
		}
	}
	const id = "77aa00bb11cc22dd"
	if !f.submit(id, `{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":512,"est_runtime_ms":500}]}`) {
		return nil, fmt.Errorf("a job was not accepted")
	}
	time.Sleep(finish + idleLimit)
	state := f.state(id)
	rec.log("state", "job %s is shown as %q %v after its acceptance; %d tasks run; %d writes refused", id, state, finish+idleLimit, f.tasksRunning(), store.refused.Load())
	if state == "completed" {
		return nil, nil
	}
	return verdict{fmt.Sprintf("job %s is shown as %q %v after its acceptance, and %d tasks run", id, state, finish+idleLimit, f.tasksRunning())}, nil
}
