package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// byteCounter counts the answers to range calls and the bytes of their bodies.
type byteCounter struct {
	http.Handler
	responses, bytes atomic.Int64
}

func (b *byteCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/range") {
		b.Handler.ServeHTTP(w, r)
		return
	}
	b.responses.Add(1)
	b.Handler.ServeHTTP(countedWriter{w, &b.bytes}, r)
}

type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countedWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// TestMeasureDocumentListing measures the bytes of a full listing of 94 documents, and of a
// Watcher's later listings without changes.
func TestMeasureDocumentListing(t *testing.T) {
	c := requireMeasure(t)
	srv := standin.New(standin.Options{})
	counted := &byteCounter{Handler: srv}
	web := httptest.NewServer(counted)
	store := store.NewClient(store.Options{Endpoints: []string{web.URL}})
	c.Cleanup(func() {
		store.Close()
		srv.Close()
		web.Close()
	})
	sample, err := os.ReadFile("../../testdata/documents/dispatch.toml")
	c.Assert(err, qt.IsNil)
	for _, name := range services(94) {
		text := strings.Replace(string(sample), `service = "dispatch"`, `service = "`+name+`"`, 1)
		_, err := document.Put(context.Background(), store, document.Proposal{
			FileName: name, TOML: []byte(text), Author: "tests", Token: "token-of-" + name, CreatedAt: time.Now(),
		})
		c.Assert(err, qt.IsNil)
	}
	cfg := document.DefaultSyncerConfig(true)
	cfg.ListPeriod = 400 * time.Millisecond
	before := counted.bytes.Load()
	_, err = store.List(context.Background(), document.StoreKeyPrefix)
	c.Assert(err, qt.IsNil)
	first := counted.bytes.Load() - before
	w := document.NewWatcher(store, nil, document.NewActiveSet(nil), cfg, discardLogger())
	<-w.Ready()
	responses, bytes := counted.responses.Load(), counted.bytes.Load()
	time.Sleep(5 * time.Second)
	responses, bytes = counted.responses.Load()-responses, counted.bytes.Load()-bytes
	c.Assert(w.Stop(), qt.IsNil)
	c.Logf("94 documents of %d bytes: whole listing %d bytes, %d later ones %d bytes each | load %s",
		len(sample), first, responses, bytes/max(responses, 1), loadAverage())
}
