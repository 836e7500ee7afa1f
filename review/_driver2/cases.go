package main

import (
	"fmt"
	"strconv"
	"time"
)

// cases are the cases by the number of their folder.
var cases = map[string]struct {
	options options
	run     reviewCase
}{
	"large":       {options{workers: 3, runTime: specMilliseconds}, largeJob},
	"occurrences": {options{workers: 3, runTime: specMilliseconds}, manyOccurrences},
	"rename":      {options{workers: 3, runTime: specMilliseconds}, renamedRoute},
}

// specMilliseconds decodes a specification, which is the run time in milliseconds.
func specMilliseconds(spec string) time.Duration {
	ms, _ := strconv.Atoi(spec) // written by this program
	return time.Duration(ms) * time.Millisecond
}

// smallJob is a job of two tasks of a second each.
func smallJob() string {
	return `{"spec":"1000","steps":[{"count":2,"cpu":1000,"mem_mb":512,"gpu":1,"est_runtime_ms":1000}]}`
}

// runSmallJob checks that the deployment works: a small job is accepted and completes.
func (f *fleet) runSmallJob() {
	path := urgentPrefix + newJobID()
	f.mustSubmit(path, smallJob())
	if err := f.awaitState(15*time.Second, path, "completed"); err != nil {
		panic(err)
	}
}

// serveSmallJobs hands in small jobs of the highest priority within the tenant's guarantee, and
// returns the first that has not begun within finish after the last was handed in.
func (f *fleet) serveSmallJobs(count int) (unserved string, accepted int) {
	var jobs []string
	for range count {
		id := newJobID()
		if f.submit(urgentPrefix+id, smallJob()) {
			jobs = append(jobs, id)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finish)
	for _, id := range jobs {
		a := f.get(urgentPrefix + id)
		f.recordRuns(id)
		if unserved == "" && a.state != "completed" && len(f.runsOf(id)) == 0 {
			unserved = id
		}
	}
	return unserved, len(jobs)
}

// tasksAtWork returns how many tasks run on the workers.
func (f *fleet) tasksAtWork() int {
	n := 0
	for _, w := range f.workers {
		n += len(w.Running())
	}
	return n
}

// largeJob hands in one large job, and then small ones.
func largeJob(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	if trouble {
		start := time.Now().Add(-3 * time.Second).UnixMilli()
		f.mustSubmit(batchPrefix+newJobID(), fmt.Sprintf(
			`{"spec":"60000","steps":[{"count":10000,"cpu":1,"mem_mb":1,"est_runtime_ms":60000}],"repeat_count":3,"start_at_ms":%d,"period_ms":1000}`, start))
		time.Sleep(2 * time.Second)
	}
	return f.judgeSmallJobs(6)
}

// judgeSmallJobs judges whether small jobs are served, by LOST.
func (f *fleet) judgeSmallJobs(count int) verdict {
	unserved, accepted := f.serveSmallJobs(count)
	atWork := f.tasksAtWork()
	f.rec.add("workers: %d tasks are at work", atWork)
	switch {
	case accepted == 0:
		return broken("no small job was accepted")
	case unserved != "" && atWork == 0:
		return broken("LOST: job %s was accepted and nothing of it runs %v after the end of the traffic, while all workers are idle", unserved, finish)
	case unserved != "":
		return broken("LOST: job %s was accepted and nothing of it runs %v after the end of the traffic; %d tasks of others do", unserved, finish, atWork)
	}
	return held("all %d accepted small jobs were served", accepted)
}

// manyOccurrences hands in one scheduled job most of whose occurrences are due, and then small ones.
func manyOccurrences(f *fleet, trouble bool) verdict {
	for _, g := range f.gateways {
		go g.limitMemory(gatewayMB, f.stop)
	}
	f.runSmallJob()
	times := 4
	if trouble {
		times = 400_000
	}
	f.mustSubmit(batchPrefix+newJobID(), fmt.Sprintf(
		`{"spec":"1000","steps":[{"count":1,"cpu":1000,"mem_mb":512,"est_runtime_ms":1000}],"repeat_count":%d,"period_ms":3600000}`, times))
	v := f.judgeSmallJobs(6)
	kills := 0
	for _, g := range f.gateways {
		f.rec.add("platform: %s was killed %d times for its memory, which was %d MB at most", g.name, g.memoryKills(), g.peakMB)
		kills += g.memoryKills()
	}
	if kills > 0 {
		return broken("gateways were killed %d times for using over %d MB; small jobs: %s", kills, gatewayMB, v.detail)
	}
	return v
}

// renamedRoute gives a route another name in a new version of the configuration, while a job of it runs.
func renamedRoute(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	id := newJobID()
	path := urgentPrefix + id
	f.mustSubmit(path, `{"spec":"60000","steps":[{"count":2,"cpu":1000,"mem_mb":512,"gpu":1,"est_runtime_ms":60000}]}`)
	if err := f.awaitState(10*time.Second, path, "running"); err != nil {
		panic(err)
	}
	time.Sleep(visible)
	routes := defaultRoutes()
	if trouble {
		routes[0].name = "r-k2x9mdw"
	} else {
		routes[0].timeoutMs = 2900
	}
	f.configure(2, routes)
	time.Sleep(configApply + contact)
	a := f.get(path)
	pending := f.call(0, "GET", urgentPrefix, "")
	f.rec.add("client: GET %s -> %d pending %d", urgentPrefix, pending.status, pending.pending)
	cancel := f.call(0, "DELETE", path, "")
	f.rec.add("client: DELETE %s -> %d %s", path, cancel.status, cancel.body)
	time.Sleep(cancelWithin + stopTime + time.Second)
	atWork := 0
	for _, r := range f.runsOf(id) {
		if r.EndedAt.IsZero() {
			atWork++
		}
	}
	f.recordRuns(id)
	if a.status == 410 {
		return broken("LOST: a GET for an accepted job that nobody has cancelled was answered 410; its cancelling was answered %d, and %d of its tasks run on %v later", cancel.status, atWork, cancelWithin+stopTime)
	}
	if a.status != 200 || cancel.status != 200 || atWork > 0 {
		return broken("GET %d, DELETE %d, %d tasks run on", a.status, cancel.status, atWork)
	}
	return held("GET 200 %s, DELETE 200, no task runs on", a.state)
}
