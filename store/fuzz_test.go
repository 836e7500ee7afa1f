package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scriptedTransport answers each call with the next status and body, and repeats the
// last one.
type scriptedTransport struct {
	status []int
	body   []string
	calls  int
}

// RoundTrip implements http.RoundTripper.
func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	i := min(s.calls, len(s.body)-1)
	s.calls++
	return &http.Response{
		StatusCode: s.status[i],
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(s.body[i])),
		Request:    r,
	}, nil
}

func (s *scriptedTransport) client() *Client {
	return NewClient(Options{Endpoints: []string{"http://store"}, HTTP: &http.Client{Transport: s}})
}

// fuzzStatus maps n to a status that net/http accepts.
func fuzzStatus(n uint16) int { return 200 + int(n)%400 }

// FuzzReads checks that for arbitrary answers a read returns an error or only requested
// keys, and a renewal an error or a positive TTL.
func FuzzReads(f *testing.F) {
	for _, body := range []string{
		`{"header":{"cluster_id":"7","revision":"12"},"kvs":[{"key":"YS8x","create_revision":"3","mod_revision":"9","value":"eA=="}]}`,
		`{"header":{"revision":"12"},"kvs":[{"key":"Yg==","mod_revision":"9"}]}`,
		`{"header":{"revision":"-1"},"kvs":[{"key":"YS8x","create_revision":"-5","mod_revision":"-9"}]}`,
		`{"result":{"ID":"5","TTL":"10"}}`, `{"result":{"ID":"5","TTL":"9223372036854775807"}}`, `{"result":{"TTL":"-1"}}`,
		`{}`, `null`, `[]`, `{"kvs":[null]}`, `{"kvs":null}`, `{"error":"x","code":5,"message":"etcdserver: requested lease not found"}`, ``,
		`{"error":"x","code":11}`, "<html>", `{"header":{"revision":5}}`,
	} {
		f.Add(uint16(0), body, uint16(0), body)
		f.Add(uint16(303), body, uint16(0), body)
	}
	f.Fuzz(func(t *testing.T, s1 uint16, b1 string, s2 uint16, b2 string) {
		answers := func() *scriptedTransport {
			return &scriptedTransport{status: []int{fuzzStatus(s1), fuzzStatus(s2)}, body: []string{b1, b2}}
		}
		ctx := context.Background()
		kv, ok, err := answers().client().Get(ctx, "a/1")
		if ok && (err != nil || kv.Key != "a/1" || kv.Mod <= 0 || kv.Created <= 0 || kv.Created > kv.Mod) {
			t.Fatalf("Get of a/1 returned %+v, error %v", kv, err)
		}
		snap, err := answers().client().List(ctx, "a/")
		for _, kv := range snap.Keys {
			if err != nil || !strings.HasPrefix(kv.Key, "a/") || kv.Mod <= 0 {
				t.Fatalf("List of a/ returned %+v at revision %d, error %v", kv, snap.At, err)
			}
		}
		if err == nil && snap.At <= 0 {
			t.Fatalf("List returned revision %d", snap.At)
		}
		if ttl, err := answers().client().Renew(ctx, 5); (err == nil) != (ttl > 0) {
			t.Fatalf("Renew returned TTL %v, error %v", ttl, err)
		}
	})
}

// FuzzCommit checks that for arbitrary answers a swap is reported as made only if an
// answer shows it, and that each result is for its own key.
func FuzzCommit(f *testing.F) {
	for _, body := range []string{
		`{"header":{"revision":"12"},"succeeded":true,"responses":[{"response_txn":{"succeeded":true}},{"response_txn":{"succeeded":true}}]}`,
		`{"header":{"revision":"12"},"responses":[{"response_txn":{"responses":[{"response_range":{"kvs":[{"key":"Yg==","value":"b3Vycw==","mod_revision":"4","create_revision":"4"}]}}]}},{"response_txn":{}}]}`,
		`{"responses":[{"response_range":{"kvs":[{"key":"YQ==","value":"b3Vycw==","mod_revision":"4"}]}},{}]}`,
		`{"responses":[{},{}]}`, `{"responses":[]}`, `{"responses":[{"response_txn":null},null]}`, `{}`, ``, `{"code":5}`, `{"code":3}`,
	} {
		for _, status := range []uint16{0, 200, 300} {
			f.Add(status, body, uint16(0), body)
		}
	}
	f.Fuzz(func(t *testing.T, s1 uint16, b1 string, s2 uint16, b2 string) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
		defer cancel()
		swaps := []Swap{{Key: "a", Value: []byte("ours")}, {Key: "b", Expect: 3, Value: []byte("ours too")}}
		answers := &scriptedTransport{status: []int{fuzzStatus(s1), fuzzStatus(s2)}, body: []string{b1, b2}}
		results, err := answers.client().Commit(ctx, swaps)
		if err != nil {
			return
		}
		if len(results) != len(swaps) {
			t.Fatalf("Commit returned %d results", len(results))
		}
		for i, r := range results {
			if r.Swapped && r.Unknown || r.Current.Key != "" && r.Current.Key != swaps[i].Key {
				t.Fatalf("invalid result for the swap of %s: %+v", swaps[i].Key, r)
			}
			reported := strings.Contains(strings.ToLower(b1+b2), "succeeded")
			if r.Swapped && !reported && !bytes.Equal(r.Current.Value, swaps[i].Value) && !strings.Contains(strings.ToLower(b1+b2), "value") {
				t.Fatalf("swap of %s is reported as made without evidence: %+v", swaps[i].Key, r)
			}
		}
	})
}

// FuzzWatch checks that for an arbitrary stream a watch delivers only keys with its
// prefix, in revision order and without repetition.
func FuzzWatch(f *testing.F) {
	created := `{"result":{"header":{"cluster_id":"7","revision":"5"},"created":true}}`
	for _, rest := range []string{
		`{"result":{"header":{"cluster_id":"7","revision":"7"},"events":[{"kv":{"key":"YS8x","mod_revision":"6"}},{"type":"DELETE","kv":{"key":"YS8y","mod_revision":"7"}}]}}`,
		`{"result":{"header":{"cluster_id":"7","revision":"7"},"events":[{"kv":{"key":"YS8x","mod_revision":"7"}},{"kv":{"key":"YS8y","mod_revision":"6"}}]}}`,
		`{"result":{"header":{"cluster_id":"7","revision":"9"}}}`,
		`{"result":{"header":{"cluster_id":"8","revision":"9"}}}`,
		`{"result":{"header":{"cluster_id":"7","revision":"2"}}}`,
		`{"result":{"canceled":true}}`, `{"error":{"code":11}}`, `{"result":{"compact_revision":"4"}}`, `{}`, `null`, `{"result":`,
		`{"result":{"header":{"cluster_id":"7","revision":"9"},"events":[{"kv":{"key":"Yg==","mod_revision":"8"}}]}}`,
		`{"result":{"header":{"cluster_id":"7","revision":"9"},"events":[{"kv":{"key":"YS8x","mod_revision":"9223372036854775807"}}]}}`,
	} {
		f.Add(int64(6), created+rest)
		f.Add(int64(0), created+rest+rest)
	}
	f.Fuzz(func(t *testing.T, from int64, stream string) {
		if from < 0 || from == 1<<63-1 {
			return
		}
		last := Revision(from) - 1
		w := &watcher{prefix: "a/", lastRevision: last}
		w.deliver = func(b WatchBatch) {
			if b.At <= last {
				t.Fatalf("batch %+v does not advance past revision %d", b, last)
			}
			previous := last
			for _, e := range b.Events {
				if e.Mod < previous || e.Mod <= last || e.Mod > b.At || !strings.HasPrefix(e.Key, "a/") {
					t.Fatalf("invalid event in batch %+v after revision %d", b, last)
				}
				previous = e.Mod
			}
			last = b.At
		}
		delivered, err := w.readStream(strings.NewReader(stream), func() {})
		if err == nil || from > 0 && delivered != (last >= Revision(from)) {
			t.Fatalf("stream ended at revision %d, delivered up to %d: %v", w.lastRevision, last, err)
		}
	})
}
