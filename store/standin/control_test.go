package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

func TestControlOverHTTP(t *testing.T) {
	c := qt.New(t)
	srv := standin.New(standin.Options{})
	defer srv.Close()
	httpServer := httptest.NewServer(srv)
	defer httpServer.Close()
	post := func(path, body string) (int, string) {
		resp, err := http.Post(httpServer.URL+path, "application/json", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return resp.StatusCode, strings.TrimSpace(string(got))
	}
	// Keys and values are base64 in the JSON form of the API.
	const put = `{"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`

	post("/standin/snapshot", "")
	status, _ := post("/v3/kv/txn", `{"success":[{"unknown":{}}]}`)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	status, body := post("/v3/kv/txn", put)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(srv.Revision(), qt.Equals, int64(2))
	status, body = post("/v3/kv/range", `{"key":"Zm9v"}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, `{"header":{"cluster_id":"1","revision":"2"},"kvs":[{"key":"Zm9v",`+
		`"create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}]}`)

	post("/standin/restore", "")
	c.Assert(srv.Revision(), qt.Equals, int64(1))
	status, body = post("/standin/faults", `{"down":"refuse"}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, `{"down":"refuse"}`)
	status, _ = post("/v3/kv/range", `{"key":"Zm9v"}`)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = post("/standin/faults", `{"donw":"refuse"}`)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(srv.Counters(), qt.Equals, standin.Counters{Range: 2, Txn: 1, Refused: 1})
}
