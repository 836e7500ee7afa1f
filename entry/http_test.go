package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
)

// Guards against request methods other than GET and POST not being routed to targets.
func TestAllRequestMethodsAreRouted(t *testing.T) {
	c := qt.New(t)
	e := &Entry{}
	e.watcher = document.NewWatcher(nil, nil, document.NewActiveSet(nil), document.DefaultSyncerConfig(false), nil)
	c.Cleanup(func() { c.Check(e.watcher.Stop(), qt.IsNil) })
	for _, method := range []string{
		http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		w := httptest.NewRecorder()
		e.routes().ServeHTTP(w, httptest.NewRequest(method, api.RequestPath("dispatch", "stalls/7"), nil))
		c.Check(w.Code, qt.Equals, api.ReasonNotReady.Status(), qt.Commentf("%s", method))
	}
}
