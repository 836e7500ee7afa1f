package capacity

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/store"
	kvstandin "github.com/eelgrasshub/eelgrasshub/store/standin"
)

// testRegion is a store with documents, for which entries and agents can be started.
type testRegion struct {
	*qt.C
	server *kvstandin.Server
	calls  *CallCounter
	url    string
	client *store.Client
}

func newTestRegion(c *qt.C, services ...string) *testRegion {
	r := &testRegion{C: c, server: kvstandin.New(kvstandin.Options{})}
	r.calls = NewCallCounter(r.server)
	httpServer := httptest.NewServer(r.calls)
	r.url = httpServer.URL
	r.client = store.NewClient(store.Options{Endpoints: []string{r.url}, CallTimeout: 10 * time.Second, RateLimit: 1e6, Burst: 1e6})
	c.Cleanup(func() {
		r.client.Close()
		r.server.Close()
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	for _, name := range services {
		r.putDocument(name, 0)
	}
	return r
}

func (r *testRegion) putDocument(service string, base uint64) document.Version {
	text := append(documentText(service, 4), fmt.Sprintf("# after generation %d\n", base)...)
	v, err := document.Put(context.Background(), r.client, document.Proposal{
		FileName: service, TOML: text, BaseGeneration: base, Author: "t", Token: uuid.NewString(), CreatedAt: time.Now(),
	})
	r.Assert(err, qt.IsNil)
	return v
}

func (r *testRegion) entrySettings(id string, reportPeriod time.Duration) settings.Entry {
	return settings.Entry{
		ID: id, Region: regionName, Zone: "z1", HTTPListen: loopback, QUICListen: loopback, ClusterKey: clusterKey,
		StoreURLs: []string{r.url}, StoreTimeout: schema.Duration{Duration: 2 * time.Second}, StoreRateLimit: 500,
		ReportPeriod: schema.Duration{Duration: reportPeriod}, StopGrace: schema.Duration{Duration: time.Minute},
	}
}

// countAlive returns the number of live agents that the entry knows, and of those that reported
// at least the generation.
func (r *testRegion) countAlive(httpAddr string, generation uint64) (known, applied int) {
	status, err := api.NewClient("http://"+httpAddr, nil).Status(context.Background())
	if err != nil {
		return 0, 0
	}
	for _, m := range status.Members {
		if m.State == "alive" {
			known++
		}
		if m.State == "alive" && m.Generation >= generation {
			applied++
		}
	}
	return known, applied
}

func services(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("service-%02d", i))
	}
	return names
}
