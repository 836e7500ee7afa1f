package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
)

// CallCounter is a handler that counts the calls to a store by method and by the first segment
// of their key, such as "txn jobs". Calls that name only a lease count under the key last
// written with that lease. It is safe for concurrent use.
type CallCounter struct {
	store http.Handler

	mu        sync.Mutex
	calls     map[string]int
	leaseKeys map[string]string
}

// NewCallCounter returns a handler that counts the calls and forwards them to the store.
func NewCallCounter(store http.Handler) *CallCounter {
	return &CallCounter{store: store, calls: make(map[string]int), leaseKeys: make(map[string]string)}
}

// ServeHTTP implements http.Handler.
func (c *CallCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var call any
	if json.Unmarshal(body, &call) == nil {
		c.record(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], call)
	}
	c.store.ServeHTTP(w, r)
}

func (c *CallCounter) record(kind string, call any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := &callSubject{}
	subject.walk(call)
	if subject.key == "" {
		subject.key = c.leaseKeys[subject.lease]
	} else if subject.lease != "" {
		c.leaseKeys[subject.lease] = subject.key
	}
	c.calls[kind+" "+subject.key]++
}

// callSubject is the first segment of the first key, and the lease, that a call names.
type callSubject struct{ key, lease string }

func (s *callSubject) walk(v any) {
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			s.walk(e)
		}
	case map[string]any:
		for name, e := range v {
			s.visitField(name, e)
			s.walk(e)
		}
	}
}

func (s *callSubject) visitField(name string, v any) {
	text := fmt.Sprint(v)
	var key []byte
	switch name {
	case "key":
		if s.key == "" && json.Unmarshal([]byte(`"`+text+`"`), &key) == nil {
			s.key, _, _ = strings.Cut(string(key), "/")
		}
	case "lease", "ID":
		if text != "0" {
			s.lease = text
		}
	}
}

// Calls returns the numbers of calls so far.
func (c *CallCounter) Calls() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}
