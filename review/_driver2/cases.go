package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// cases are the cases by their name, those of the folders and those that the report names beside them.
var cases = map[string]struct {
	options options
	run     reviewCase
}{
	"burst":       {options{workers: 3, behavior: specBehavior}, largeBurst},
	"large":       {options{workers: 3, behavior: specBehavior}, largeJob},
	"occurrences": {options{workers: 3, behavior: specBehavior}, manyOccurrences},
	"idle":        {options{workers: 3, behavior: specBehavior}, idleCapacity},
	"reclaim":     {options{workers: 3, behavior: specBehavior}, reclaimShape},
	"parallel":    {options{workers: 3, behavior: specBehavior, otherGuaranteed: 8}, parallelSteps},
	"crashes":     {options{workers: 7, behavior: specBehavior}, workerCrashes},
	"gang":        {options{workers: 3, behavior: specBehavior}, evictedGang},
	"hopeless":    {options{workers: 11, behavior: specBehavior, advice: true}, hopelessJobs},
	"poison":      {options{workers: 3, behavior: specBehavior}, failingJob},
	"rename":      {options{workers: 3, behavior: specBehavior}, renamedRoute},
}

// lastingSpec is the specification of tasks that last.
const lastingSpec = "lasts"

// failingSpec is the specification of tasks that fail a moment after their start.
const failingSpec = "fails"

// specBehavior decodes a specification: one of those above, or the run time in milliseconds.
func specBehavior(spec string) behavior {
	switch spec {
	case lastingSpec:
		return behavior{lasts: true}
	case failingSpec:
		return behavior{runTime: 100 * time.Millisecond, fails: true}
	}
	ms, _ := strconv.Atoi(spec) // written by this program
	return behavior{runTime: time.Duration(ms) * time.Millisecond}
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
		n += len(w.tasks())
	}
	return n
}

// largeJob hands in one large scheduled job of gangs, and then small jobs.
func largeJob(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	occurrences := 1
	if trouble {
		occurrences = 5
	}
	step := `{"count":256,"cpu":1,"mem_mb":1,"est_runtime_ms":60000,"gang":true}`
	f.mustSubmit(batchPrefix+newJobID(), fmt.Sprintf(`{"spec":"60000","steps":[%s],"repeat_count":%d,"start_at_ms":%d,"period_ms":1000}`,
		strings.Repeat(step+",", 38)+step, occurrences, time.Now().Add(-10*time.Second).UnixMilli()))
	time.Sleep(2 * time.Second)
	return f.judgeSmallJobs(6)
}

// largeBurst hands in large jobs while tasks that last are at work.
func largeBurst(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	serving := newJobID()
	f.mustSubmit(urgentPrefix+serving, lastingJob(3, 1))
	f.mustAwait(10*time.Second, "the lasting tasks run", func() bool { return f.runsAtWork(serving) == 3 })
	time.Sleep(contact)
	tasks := 100
	if trouble {
		tasks = 10_000
	}
	for range 4 {
		f.mustSubmit(batchPrefix+newJobID(), fmt.Sprintf(`{"spec":"20000","steps":[{"count":%d,"cpu":1,"mem_mb":1,"est_runtime_ms":20000}]}`, tasks))
	}
	time.Sleep(30 * time.Second)
	f.recordRuns(serving)
	lapsed := 0
	for _, r := range f.runsOf(serving) {
		if r.reason == "lapsed" {
			lapsed++
		}
	}
	if lapsed > 1 {
		return broken("AVAIL: the leases of %d of 3 lasting tasks of a step lapsed, of which 1 may miss", lapsed)
	}
	return held("%d leases lapsed", lapsed)
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
	const hoursOfAYear = 8760
	times := 4
	if trouble {
		times = hoursOfAYear
	}
	f.mustSubmit(batchPrefix+newJobID(), fmt.Sprintf(
		`{"spec":"1000","steps":[{"count":55,"cpu":1000,"mem_mb":512,"est_runtime_ms":1000}],"repeat_count":%d,"period_ms":3600000}`, times))
	v := f.judgeSmallJobs(6)
	machines := 0
	for _, g := range f.gateways {
		f.rec.add("platform: %s was killed %d times for its memory, which was %d MB at most", g.name, g.memoryKills(), g.peakMB)
		if g.memoryKills() >= 3 {
			machines++
		}
	}
	switch {
	case v.broken:
		v.detail += fmt.Sprintf("; %d of %d gateways were killed three times or more for using over %d MB", machines, len(f.gateways), gatewayMB)
	case machines >= 2:
		return broken("%d of %d gateways were killed three times or more for using over %d MB", machines, len(f.gateways), gatewayMB)
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
		if r.endedAt.IsZero() {
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

// idleCapacity hands in two jobs of low priority whose tasks last, on idle workers.
func idleCapacity(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	count := 6
	if trouble {
		count = 8
	}
	first, second := newJobID(), newJobID()
	f.mustSubmit(batchPrefix+first, lastingJob(count, count))
	f.mustAwait(10*time.Second, "the tasks of the first job run", func() bool { return f.runsAtWork(first) == count })
	f.mustSubmit(batchPrefix+second, lastingJob(2, 2))
	time.Sleep(finish)
	total := accelerators * len(f.workers)
	inUse := f.runsAtWork(first) + f.runsAtWork(second)
	a := f.get(batchPrefix + second)
	f.recordRuns(first)
	f.recordRuns(second)
	f.rec.add("workers: %d of %d accelerators are in use", inUse, total)
	if len(f.runsOf(second)) == 0 && 2*inUse < total {
		return broken("LOST: an accepted job of 2 tasks with an accelerator each has nothing running %v after its acknowledgement, while %d of %d accelerators are idle; it is shown as %s", finish, total-inUse, total, a.state)
	}
	return held("both jobs run")
}

// lastingJob is a job whose tasks last and need an accelerator each.
func lastingJob(count, mayMiss int) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":512,"gpu":1,"long_running":true,"may_miss":%d}]}`, lastingSpec, count, mayMiss)
}

// runsAtWork returns how many runs of a job go on.
func (f *fleet) runsAtWork(id string) int {
	n := 0
	for _, r := range f.runsOf(id) {
		if r.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// reclaimShape hands in a job of low priority whose tasks last, and then one of priority 0 that the
// tenant's guarantee covers.
func reclaimShape(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	serving := newJobID()
	if trouble {
		f.mustSubmit(batchPrefix+serving, lastingJob(3, 1))
		f.mustAwait(10*time.Second, "the lasting tasks run", func() bool { return f.runsAtWork(serving) == 3 })
		time.Sleep(5 * time.Second)
	}
	id := newJobID()
	f.mustSubmit(urgentPrefix+id, `{"spec":"2000","steps":[{"count":2,"cpu":4000,"mem_mb":4096,"gpu":8,"est_runtime_ms":2000,"gang":true}]}`)
	acknowledged := time.Now()
	time.Sleep(reclaim + 200*time.Millisecond)
	begun := len(f.runsOf(id))
	f.get(urgentPrefix + id)
	time.Sleep(finish)
	a := f.get(urgentPrefix + id)
	f.recordRuns(serving)
	f.recordRuns(id)
	if begun < 2 {
		return broken("RECLAIM: %d of 2 tasks of a job of priority 0, which needs 16 of 16 guaranteed accelerators, had begun %v after its acknowledgement, and %d after %v; it is shown as %s",
			begun, reclaim, len(f.runsOf(id)), time.Since(acknowledged).Round(time.Second), a.state)
	}
	return held("all tasks had begun %v after the acknowledgement", reclaim)
}

// failingJob hands in a job of low priority that can never be done, and then one of priority 0 that
// the tenant's guarantee covers.
func failingJob(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	spec := "100"
	if trouble {
		spec = failingSpec
	}
	first := newJobID()
	f.mustSubmit(batchPrefix+first, fmt.Sprintf(`{"spec":%q,"steps":[{"count":9,"cpu":2800,"mem_mb":5700,"gpu":1,"est_runtime_ms":100}]}`, spec))
	time.Sleep(2 * time.Second)
	f.get(batchPrefix + first)
	id := newJobID()
	f.mustSubmit(urgentPrefix+id, `{"spec":"1000","steps":[{"count":2,"cpu":3700,"mem_mb":7600,"gpu":1,"est_runtime_ms":1000}]}`)
	time.Sleep(reclaim + 200*time.Millisecond)
	begun := len(f.runsOf(id))
	f.get(urgentPrefix + id)
	time.Sleep(finish)
	f.get(urgentPrefix + id)
	f.get(batchPrefix + first)
	f.recordRuns(first)
	f.recordRuns(id)
	if begun < 2 {
		return broken("RECLAIM: %d of 2 tasks of a job of priority 0, which needs 2 of 16 guaranteed accelerators, had begun %v after its acknowledgement, while all workers were idle", begun, reclaim)
	}
	return held("all tasks had begun %v after the acknowledgement", reclaim)
}

// parallelSteps hands in a job of priority 0 of one tenant whose steps run beside each other, and then
// one of another tenant that its guarantee covers.
func parallelSteps(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	step := `{"count":1,"cpu":4000,"mem_mb":4096,"gpu":8,"long_running":true,"may_miss":1}`
	steps := 1
	if trouble {
		steps = 3
	}
	first := newJobID()
	body := fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, lastingSpec, strings.Join(slices.Repeat([]string{step}, steps), ","))
	if !f.submitWith(otherKey, urgentPrefix+first, body) {
		panic("job not accepted")
	}
	f.mustAwait(10*time.Second, "the lasting tasks run", func() bool { return f.runsAtWork(first) == steps })
	time.Sleep(contact)
	id := newJobID()
	f.mustSubmit(urgentPrefix+id, `{"spec":"2000","steps":[{"count":2,"cpu":4000,"mem_mb":4096,"gpu":8,"est_runtime_ms":2000}]}`)
	time.Sleep(reclaim + 200*time.Millisecond)
	begun := len(f.runsOf(id))
	f.get(urgentPrefix + id)
	time.Sleep(finish)
	f.get(urgentPrefix + id)
	late := len(f.runsOf(id))
	f.recordRuns(first)
	f.recordRuns(id)
	if begun < 2 {
		return broken("RECLAIM: %d of 2 tasks of a job of priority 0, which needs 16 of its tenant's 16 guaranteed accelerators, had begun %v after its acknowledgement, and %d %v after it; a job of another tenant with 8 guaranteed accelerators holds %d",
			begun, reclaim, late, reclaim+finish, 8*f.runsAtWork(first))
	}
	return held("all tasks had begun %v after the acknowledgement", reclaim)
}

// workerCrashes crashes the worker of one task of a job whose tasks last, three times.
func workerCrashes(f *fleet, trouble bool) verdict {
	const downFor = 5 * time.Second
	f.runSmallJob()
	id := newJobID()
	path := urgentPrefix + id
	f.mustSubmit(path, lastingJob(3, 1))
	victim := id + ".0.0.0"
	for range 3 {
		f.mustAwait(20*time.Second, "all tasks are at work", func() bool { return f.runsAtWork(id) == 3 })
		time.Sleep(downFor + contact)
		if w := f.workerOf(victim); trouble && w != nil {
			w.crash(downFor)
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(downFor + contact)
	a := f.get(path)
	f.recordRuns(id)
	if a.state == "failed" {
		return broken("LOST: a job whose tasks last is shown as failed, though no run of it has ended failed; %d of 3 tasks are at work", f.runsAtWork(id))
	}
	return held("the job is shown as %s, %d of 3 tasks are at work", a.state, f.runsAtWork(id))
}

// workerOf returns the worker that runs a task, nil if none does.
func (f *fleet) workerOf(task string) *worker {
	for _, w := range f.workers {
		if slices.Contains(w.tasks(), task) {
			return w
		}
	}
	return nil
}

// evictedGang hands in a gang whose tasks last, and then a job of priority 0 that the tenant's
// guarantee covers and that needs two whole workers.
func evictedGang(f *fleet, trouble bool) verdict {
	f.runSmallJob()
	serving := newJobID()
	f.mustSubmit(batchPrefix+serving, fmt.Sprintf(
		`{"spec":%q,"steps":[{"count":4,"cpu":1000,"mem_mb":512,"gpu":1,"long_running":true,"may_miss":1,"gang":true,"anti_affinity":2}]}`, lastingSpec))
	f.mustAwait(10*time.Second, "the gang runs", func() bool { return f.runsAtWork(serving) == 4 })
	time.Sleep(contact)
	if trouble {
		f.mustSubmit(urgentPrefix+newJobID(), `{"spec":"2000","steps":[{"count":2,"cpu":4000,"mem_mb":4096,"gpu":8,"est_runtime_ms":2000,"gang":true}]}`)
	}
	time.Sleep(reclaim + contact)
	f.recordRuns(serving)
	stopped := 0
	for _, r := range f.runsOf(serving) {
		if r.reason == "stopped" {
			stopped++
		}
	}
	if stopped > 1 {
		return broken("AVAIL: %d of 4 tasks of a step were stopped at the same time, of which 1 may miss", stopped)
	}
	return held("%d tasks were stopped", stopped)
}

// hopelessJobs hands in jobs of priority 0 of which one in twenty needs one worker more than there are,
// and then a small one of low priority, in queues whose steps need advice.
func hopelessJobs(f *fleet, trouble bool) verdict {
	const sound, hopeless = 76, 4
	var jobs []string
	for range sound {
		path := urgentPrefix + newJobID()
		f.mustSubmit(path, `{"spec":"200","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"est_runtime_ms":200}]}`)
		jobs = append(jobs, path)
		time.Sleep(100 * time.Millisecond)
	}
	for _, path := range jobs {
		if err := f.awaitState(60*time.Second, path, "completed"); err != nil {
			panic(err)
		}
	}
	if trouble {
		for range hopeless {
			f.mustSubmit(urgentPrefix+newJobID(), fmt.Sprintf(
				`{"spec":"60000","steps":[{"count":%d,"cpu":4000,"mem_mb":4096,"gpu":8,"est_runtime_ms":60000,"gang":true}]}`, len(f.workers)+1))
		}
	}
	time.Sleep(contact)
	id := newJobID()
	f.mustSubmit(batchPrefix+id, smallJob())
	time.Sleep(finish + contact)
	a := f.get(batchPrefix + id)
	f.recordRuns(id)
	f.rec.add("workers: %d tasks are at work", f.tasksAtWork())
	if len(f.runsOf(id)) == 0 && f.tasksAtWork() == 0 {
		return broken("LOST: a small job has nothing running %v after its acknowledgement, while all workers are idle; it is shown as %s", finish+contact, a.state)
	}
	return held("the small job is shown as %s", a.state)
}
