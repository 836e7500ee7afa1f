package metrics

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
)

// ErrAlreadyPublished is returned if an expvar of that name exists in this process.
var ErrAlreadyPublished = errors.New("metrics: expvar is already published")

var _ expvar.Var = (*Set)(nil)

// String returns the snapshot as JSON. It implements expvar.Var.
func (s *Set) String() string {
	text, err := json.Marshal(s.Snapshot())
	if err != nil {
		panic("metrics: failed to encode snapshot: " + err.Error())
	}
	return string(text)
}

// Publish publishes the set as an expvar under name, which cannot be undone. If the name
// is in use, the error wraps ErrAlreadyPublished. It must not be called concurrently.
func (s *Set) Publish(name string) error {
	if expvar.Get(name) != nil {
		return fmt.Errorf("%w: %s", ErrAlreadyPublished, name)
	}
	expvar.Publish(name, s)
	return nil
}

// Handler serves the set under name, along with the process's memory statistics, in the
// format of /debug/vars. It does not need Publish. Serve it on a local address only.
func (s *Set) Handler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		vars := map[string]json.RawMessage{name: json.RawMessage(s.String())}
		if mem := expvar.Get("memstats"); mem != nil {
			vars["memstats"] = json.RawMessage(mem.String())
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(vars) // fails only if the client has disconnected
	})
}
