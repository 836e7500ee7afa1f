package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/agent"
	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/document/schema"
	"github.com/eelgrasshub/eelgrasshub/entry"
	"github.com/eelgrasshub/eelgrasshub/settings"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// TestMeasureIdleStore counts the store calls of an idle region, and those of a document change.
func TestMeasureIdleStore(t *testing.T) {
	requireMeasure(t)
	for _, entries := range []int{1, 2, 4} {
		for _, n := range []int{1, 10, 94} {
			t.Run(fmt.Sprintf("entries=%d/services=%d", entries, n), func(t *testing.T) {
				measureIdleStore(qt.New(t), entries, n)
			})
		}
	}
}

func measureIdleStore(c *qt.C, entries, n int) {
	const span = 10 * time.Second
	names := services(n)
	region := newTestRegion(c, names...)
	initialCalls := region.calls.Calls()
	usageAtStart := ReadUsage()
	for i := range entries {
		e, err := entry.Start(region.entrySettings(fmt.Sprint("entry-", i), time.Second), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(e.Close)
	}
	time.Sleep(5 * time.Second)
	settledCalls := region.calls.Calls()
	before := ReadUsage()
	time.Sleep(span)
	after := ReadUsage()
	idleCalls := region.calls.Calls()
	c.Logf("%d entries, %d services: at the start %s; then per second %s; processor %.2f%% of a core with the stand-in, heap %d KB | load %s",
		entries, n, callIncrease(settledCalls, initialCalls, 1), callIncrease(idleCalls, settledCalls, span.Seconds()), 100*after.ProcessorTimeSince(before).Seconds()/span.Seconds(), (int64(after.Heap)-int64(usageAtStart.Heap))>>10, loadAverage())
	for generation := range uint64(10) {
		region.putDocument(names[0], generation+1)
	}
	time.Sleep(200 * time.Millisecond)
	c.Logf("%d entries, %d services: a change of a document %s, its watches included", entries, n, callIncrease(region.calls.Calls(), idleCalls, 10))
}

// agentSettings starts a stand-in target and returns the settings of an agent for it.
func (r *testRegion) agentSettings(id, service, seed string, reportPeriod time.Duration) settings.Agent {
	target := standin.New(standin.Options{Name: id, Accelerators: 8, ServiceTime: time.Millisecond})
	server := httptest.NewServer(target)
	r.Cleanup(func() {
		target.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return settings.Agent{
		ID: id, Service: service, Region: regionName, Zone: "z1", Rack: "r1", Listen: loopback, Seeds: []string{seed}, ClusterKey: clusterKey,
		Target: server.URL, Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65536,
		ReportPeriod: schema.Duration{Duration: reportPeriod}, StopGrace: schema.Duration{Duration: time.Minute},
	}
}

// startRegionWithAgents starts an entry with 8 agents, and waits until it is ready. It returns
// the region, the entry, its client and the service.
func startRegionWithAgents(c *qt.C) (*testRegion, *entry.Entry, *api.Client, string) {
	names := services(1)
	region := newTestRegion(c, names...)
	e, err := entry.Start(region.entrySettings("entry-1", time.Second), discardLogger())
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.Close)
	for i := range 8 {
		a, err := agent.Start(region.agentSettings(fmt.Sprint("worker-", i), names[0], e.QUICAddr(), time.Second), discardLogger())
		c.Assert(err, qt.IsNil)
		c.Cleanup(a.Close)
	}
	eventually(c, "ready", func() bool { known, applied := region.countAlive(e.HTTPAddr(), 1); return known == 8 && applied == 8 })
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	c.Cleanup(transport.CloseIdleConnections)
	client := api.NewClient("http://"+e.HTTPAddr(), transport)
	eventually(c, "ready", func() bool { return client.Ready(context.Background()) == nil })
	return region, e, client, names[0]
}

// TestMeasureKeyedRequests counts the store calls of non-repeatable requests with an idempotency
// key.
func TestMeasureKeyedRequests(t *testing.T) {
	region, _, client, service := startRegionWithAgents(requireMeasure(t))
	c := region.C
	for _, rate := range []int{10, 100, 1000} {
		const span = 5 * time.Second
		callsBefore, began := region.calls.Calls(), time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		done, otherOutcomes := 0, make(map[string]int)
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		for i := range rate * int(span.Seconds()) {
			<-ticker.C
			wg.Go(func() {
				a, err := client.SendQuick(context.Background(), api.QuickRequest{
					Service: service, Path: "x",
					CallOptions: api.CallOptions{Account: "account-1", Class: "booking", IdempotencyKey: fmt.Sprintf("%d-%d", rate, i)},
				})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					otherOutcomes[err.Error()]++
				case a.Outcome == api.OutcomeDone:
					done++
				case a.Problem != nil:
					otherOutcomes[a.Problem.Error()]++
				}
			})
		}
		wg.Wait()
		ticker.Stop()
		c.Logf("%d keyed requests a second: %d of %d done; calls a request %s, seconds %.1f | others %v | load %s",
			rate, done, rate*int(span.Seconds()), callIncrease(region.calls.Calls(), callsBefore, float64(rate)*span.Seconds()), time.Since(began).Seconds(), otherOutcomes, loadAverage())
	}
}

// TestMeasureJobs measures how long a gang of 16 takes from submission to its end on an idle
// region, and counts the store calls of jobs.
func TestMeasureJobs(t *testing.T) {
	region, e, client, service := startRegionWithAgents(requireMeasure(t))
	c := region.C
	var took []time.Duration
	for i := range 50 {
		began := time.Now()
		id := region.submitJob(client, service, fmt.Sprint("gang-", i), 16, time.Millisecond)
		status, err := client.GetJob(context.Background(), service, id, 5*time.Second)
		c.Assert(err, qt.IsNil)
		c.Check(status.State, qt.Equals, api.JobDone)
		took = append(took, time.Since(began))
	}
	c.Logf("gang of 16 on an idle region, from submission to its end after 1 ms of work: p50 %v p99 %v | load %s", quantile(took, 0.5), quantile(took, 0.99), loadAverage())
	for _, n := range []int{8, 64} {
		callsBefore := region.calls.Calls()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { region.submitJob(client, service, fmt.Sprintf("job-%d-%d", n, i), 1, time.Second) })
		}
		wg.Wait()
		time.Sleep(settleTime) // longer than the jobs' run time
		eventually(c, "all jobs have ended", func() bool {
			p, ok := e.Stats(service)
			running := 0
			for _, a := range p.Accounts {
				running += a.Running
				for _, w := range a.Waiting {
					running += w
				}
			}
			return ok && running == 0
		})
		time.Sleep(500 * time.Millisecond)
		c.Logf("%d jobs at once: calls a job, idle ones of the region included, %s | load %s", n, callIncrease(region.calls.Calls(), callsBefore, float64(n)), loadAverage())
	}
}

func (r *testRegion) submitJob(client *api.Client, service, key string, accelerators int, run time.Duration) string {
	payload, err := json.Marshal(standin.TaskPayload{Tag: key, RunMS: run.Milliseconds()})
	r.Check(err, qt.IsNil)
	status, err := client.SubmitJob(context.Background(), service, api.JobRequest{
		Account: "account-1", Class: "long", Accelerators: accelerators, Payload: payload,
	}, key)
	r.Check(err, qt.IsNil)
	return status.ID
}
