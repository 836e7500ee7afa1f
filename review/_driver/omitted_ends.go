package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["omitted-ends"] = omittedEnds }

const (
	// omittedEndsJobs jobs of omittedEndsTasks tasks give each worker 600 tasks: more than the 500
	// ends that it returns at a time.
	omittedEndsJobs   = 60
	omittedEndsTasks  = 30
	omittedEndsTaskMs = 4000
	storeDownFor      = 5 * time.Second
)

// omittedEnds lets more than 500 tasks of each worker end while the store is down. The ends can't
// be taken note of before the store is back and a planner has taken over.
func omittedEnds(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	queues := []standin.Queue{{Name: "desk", Host: queueHost, Prefix: "/desk/", Priority: 1, MaxAttempts: 4}}
	if err := store.Configure(1, service, queues, apiKey); err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, store, 3, 3, peachline)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	rec.log("fleet", "3 gateways, 3 node agents with a worker each; the planner is front-%d", f.planner())
	body := fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":%d,"cpu":200,"mem_mb":256,"est_runtime_ms":%d}]}`, omittedEndsTaskMs, omittedEndsTasks, omittedEndsTaskMs)
	var ids []string
	for i := range omittedEndsJobs {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b%04x", i))
		if !f.submit(ids[i], body) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	if most := f.awaitRunning(omittedEndsJobs*omittedEndsTasks, omittedEndsTaskMs*time.Millisecond*3/4); most <= maxListedEnds {
		return nil, fmt.Errorf("at most %d tasks run on one worker, more than %d are needed", most, maxListedEnds)
	}
	if trouble {
		rec.log("store", "down: answers 503 to all calls")
		store.SetFaults(standin.StoreFaults{Busy: true})
		time.Sleep(storeDownFor)
		for _, w := range f.workers {
			running, unnoted := w.counts()
			rec.log("worker", "%s: %d tasks run, %d ends not taken note of", w.currentID(), running, unnoted)
		}
		store.SetFaults(standin.StoreFaults{})
		rec.log("store", "serves again")
	}
	states := f.awaitEnd(ids, 30*time.Second)
	rec.log("state", "jobs by state: %v; the planner is front-%d", states, f.planner())
	time.Sleep(3 * time.Second) // for ends that are taken note of late
	return f.twice(), nil
}

// awaitEnd waits until all jobs have ended, and returns how many are shown in which state.
func (f *fleet) awaitEnd(ids []string, limit time.Duration) map[string]int {
	states := map[string]int{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clear(states)
		for _, id := range ids {
			states[f.state(id)]++
		}
		if states["completed"]+states["failed"]+states["cancelled"] == len(ids) {
			break
		}
	}
	return states
}

// awaitRunning waits until n tasks run, or until no more are started, and returns the most that run
// on one worker.
func (f *fleet) awaitRunning(n int, limit time.Duration) int {
	total, most := 0, 0
	for end := time.Now().Add(limit); time.Now().Before(end) && total < n; time.Sleep(10 * time.Millisecond) {
		total, most = 0, 0
		for _, w := range f.workers {
			running, _ := w.counts()
			total += running
			most = max(most, running)
		}
	}
	f.rec.log("fleet", "%d tasks run, at most %d on one worker", total, most)
	return most
}

// twice returns the starts that break the rule TWICE: a start after a run of the task has ended as
// done, if that end is taken note of then or later, the lease not having lapsed between the two; or
// while another run of the task is at work on a worker that is up.
func (f *fleet) twice() verdict {
	var found verdict
	ended, noted, starts := 0, 0, 0
	history := f.history()
	for _, task := range slices.Sorted(maps.Keys(history)) {
		runs := history[task]
		slices.SortFunc(runs, func(a, b run) int { return a.startedAt.Compare(b.startedAt) })
		starts += len(runs)
		for i, a := range runs {
			f.rec.log("run", "%s run %d on %s from %s to %s: %s, taken note of: %s", a.task, a.number, a.worker, f.rec.at(a.startedAt), f.rec.at(a.endedAt), a.how, f.rec.at(a.notedAt))
			if a.how == "done" {
				ended++
			}
			if !a.notedAt.IsZero() {
				noted++
			}
			for _, b := range runs[i+1:] {
				if what := f.conflict(a, b); what != "" {
					found = append(found, what)
				}
			}
		}
	}
	f.rec.log("total", "%d starts, %d ends as done, %d ends taken note of", starts, ended, noted)
	slices.SortFunc(found, strings.Compare)
	return found
}

func (f *fleet) conflict(a, b run) string {
	first := fmt.Sprintf("%s: run %d on %s from %s", a.task, a.number, a.worker, f.rec.at(a.startedAt))
	second := fmt.Sprintf("run %d starts on %s at %s", b.number, b.worker, f.rec.at(b.startedAt))
	switch {
	case a.endedAt.IsZero() || b.startedAt.Before(a.endedAt):
		return fmt.Sprintf("%s to %s, and %s", first, f.rec.at(a.endedAt), second)
	case a.how == "done" && !a.notedAt.IsZero() && !a.lapsed:
		return fmt.Sprintf("%s ended done at %s, taken note of at %s; %s", first, f.rec.at(a.endedAt), f.rec.at(a.notedAt), second)
	}
	return ""
}
