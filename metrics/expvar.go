package metrics

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
)

// ErrAlreadyPublished: the name is taken in this process.
var ErrAlreadyPublished = errors.New("metrics: name is published already")

var _ expvar.Var = (*Set)(nil)

// String returns the snapshot as JSON. It implements expvar.Var.
func (s *Set) String() string {
	text, err := json.Marshal(s.Snapshot())
	if err != nil {
		panic("metrics: snapshot can't be encoded: " + err.Error())
	}
	return string(text)
}

// Publish shows the set among the process's expvars under name. A Set can't be
// taken back from there. The error is ErrPublished. Callers publish one set
// after the other.
func (s *Set) Publish(name string) error {
	if expvar.Get(name) != nil {
		return fmt.Errorf("%w: %s", ErrAlreadyPublished, name)
	}
	expvar.Publish(name, s)
	return nil
}

// Handler serves the set under name, with the process's memory statistics, in
// the form of /debug/vars. It needs no Publish. Serve it on a local address.
func (s *Set) Handler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		vars := map[string]json.RawMessage{name: json.RawMessage(s.String())}
		if mem := expvar.Get("memstats"); mem != nil {
			vars["memstats"] = json.RawMessage(mem.String())
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(vars) // a failed write means that the reader is gone
	})
}
