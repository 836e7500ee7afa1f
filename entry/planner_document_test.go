package entry

import (
	"io"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// startTestPlanner starts a planner with a version of the document.
func startTestPlanner(c *qt.C, active *document.ActiveVersion) *planner.Planner {
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	kv := store.NewClient(store.Options{Endpoints: []string{web.URL}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := planner.Start(planner.Config{
		Service: "dispatch", Epoch: 1, Store: kv, Jobs: jobs.NewStore("r", kv, nil), Metrics: metrics.New(0),
		Log: logrus.NewEntry(log), Document: active,
	})
	c.Cleanup(func() {
		p.Stop()
		kv.Close()
		server.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return p
}

// A new generation of the document becomes active while the planner of a new term starts. It must not
// keep the one that it was started with until the next generation.
func TestNewPlannerHasLatestDocument(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../testdata/documents/dispatch.toml")
	c.Assert(err, qt.IsNil)
	e := &Entry{documents: document.NewActiveSet(nil)}
	activate := func(generation uint64) *document.ActiveVersion {
		e.documents.Update(time.Now(), document.Version{Service: "dispatch", Generation: generation, TOML: text, Digest: document.DigestOf(text)})
		active, ok := e.documents.Current("dispatch")
		c.Assert(ok, qt.IsTrue)
		c.Assert(active.Version.Generation, qt.Equals, generation)
		return active
	}
	es := newElections(e)
	el := &election{service: "dispatch", epoch: 1}
	p := startTestPlanner(c, activate(1))
	activate(2)
	c.Assert(es.installPlanner(el, 1, p), qt.IsTrue)
	report, ok := p.Report(c.Context())
	c.Assert(ok, qt.IsTrue)
	c.Check(report.Generation, qt.Equals, uint64(2))
}
