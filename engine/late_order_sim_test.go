package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// loadSim drives an engine with queues of gangs in virtual time. Run times differ from the declared
// ones by up to a fifth, and 3% of the gangs take 7 times as long.
type loadSim struct {
	*driver
	random *rand.Rand
	jobs   []*loadJob
	active []*loadJob
	from   time.Duration
	// exact makes all runs take as long as declared.
	exact bool

	// waiting holds the jobs that waited before the last round, recent the starts of the last seconds.
	waiting map[*loadJob]loadRank
	recent  []loadStart
	// expired counts the late jobs that waited past their last useful start. overtaken describes those
	// that a later job with more time left preceded, and overtakenByLimit counts those that a job in
	// time preceded because the limit for late units was used up.
	expired, overtakenByLimit int
	overtaken                 []string
}

// loadQueue is a stream of gangs from one account.
type loadQueue struct {
	name     string
	account  string
	priority int
	members  int
	length   time.Duration
	stretch  float64
	// every is the interval of submissions as a function of the time since the start; 0 for none.
	every func(at time.Duration) time.Duration
	next  time.Duration
	// age is how long before its submission each job was accepted.
	age time.Duration
}

// loadJob is a job of a loadQueue. Times are those of the driver.
type loadJob struct {
	id                 workload.JobID
	queue              *loadQueue
	length             time.Duration
	accepted           time.Duration
	objective, useless time.Duration
	started, ended     time.Duration // 0 if it has not
	job                *job
}

// loadResult counts the jobs of a queue by outcome.
type loadResult struct{ inTime, late, useless int }

func (r loadResult) String() string {
	return fmt.Sprintf("%d in time, %d late, %d of no use", r.inTime, r.late, r.useless)
}

const loadSimStep = 100 * time.Millisecond

// loadTarget is the target latency of all queues of the simulation.
const loadTarget = 500 * time.Millisecond

// steady returns a constant interval.
func steady(interval time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return interval }
}

func newLoadSim(t *testing.T, seed uint64, policy Policy) *loadSim {
	s := &loadSim{driver: newDriver(t, 12), random: rand.New(rand.NewPCG(seed, 5))}
	s.e.params.Policy = policy
	s.from = s.now
	return s
}

// run submits from the queues for a time and continues until no job can be of use any more.
func (s *loadSim) run(span time.Duration, queues ...*loadQueue) {
	for s.now-s.from < span || s.unsettled() {
		if s.now-s.from < span {
			for _, q := range queues {
				s.submitDue(q)
			}
		}
		s.step()
	}
}

// unsettled reports whether a job that has not ended may still be of use.
func (s *loadSim) unsettled() bool {
	for _, j := range s.active {
		if s.now < j.useless {
			return true
		}
	}
	return false
}

func (s *loadSim) submitDue(q *loadQueue) {
	at := s.now - s.from
	for q.next <= at {
		interval := q.every(q.next)
		if interval == 0 {
			q.next = at + loadSimStep
			return
		}
		s.submitTo(q)
		q.next += time.Duration(float64(interval) * (0.5 + s.random.Float64()))
	}
}

// submitTo submits one job.
func (s *loadSim) submitTo(q *loadQueue) *loadJob {
	s.driver.jobs++
	step := gangStep(q.members, 2)
	step.Estimate = q.length
	id := workload.JobID(fmt.Sprintf("job%d", s.driver.jobs))
	s.handle(JobSubmitted{Age: q.age, Revision: int64(s.driver.jobs), Job: workload.Job{
		ID: id, Queue: q.name, Account: q.account, Service: "s", Steps: []workload.Step{step},
		QueuePolicy: workload.QueuePolicy{Priority: q.priority, MaxAttempts: 3, Stretch: q.stretch, TargetLatency: loadTarget},
	}})
	accepted := s.now - q.age
	span := time.Duration(q.stretch*float64(q.length)) + loadTarget
	j := &loadJob{
		id: id, queue: q, accepted: accepted, objective: accepted + span, useless: accepted + uselessAfterFactor*span,
		length: time.Duration(float64(q.length) * (0.8 + 0.4*s.random.Float64())), job: s.e.jobs[id],
	}
	if s.exact {
		j.length = q.length
	} else if s.random.IntN(100) < 3 {
		j.length *= 7
	}
	s.jobs = append(s.jobs, j)
	s.active = append(s.active, j)
	return j
}

// step advances the time, reports progress and ends the runs that are over.
func (s *loadSim) step() {
	length := map[workload.JobID]time.Duration{}
	var active []*loadJob
	for _, j := range s.active {
		length[j.id] = j.length
		u := j.job.units[0]
		if u.state == unitActive && len(u.placements) > 0 {
			p := u.placements[0]
			if p.state == placementRunning && !p.stopping {
				j.started = p.startedAt
				if s.now-p.startedAt >= j.length {
					s.endRuns(j.id, EndDone)
					j.ended = s.now
					continue
				}
			}
		}
		active = append(active, j)
	}
	s.active = active
	for _, w := range s.e.sortedWorkers() {
		var stopped []workload.RunID
		s.reportRuns(w.info.ID, func(p *placement) RunStatus {
			if p.stopping {
				stopped = append(stopped, p.runID())
			}
			return RunStatus{Percent: min(99, int(100*(s.now-p.startedAt)/length[p.unit.job.spec.ID]))}
		})
		s.endStopped(w, stopped)
	}
	s.now += loadSimStep
	s.rankWaiting()
	s.tick()
	s.checkOvertaking()
}

// endStopped reports the end of stopped runs.
func (s *loadSim) endStopped(w *worker, runs []workload.RunID) {
	if len(runs) == 0 {
		return
	}
	r := Report{Epoch: 1, Polled: true, Worker: w.info}
	for _, run := range runs {
		s.endCounts[w.info.ID]++
		r.Ended = append(r.Ended, RunEnd{Sequence: s.endCounts[w.info.ID], Run: run, Reason: EndStopped})
	}
	s.report(r)
}

// result counts the outcomes of the jobs for which include returns true.
func (s *loadSim) result(include func(*loadJob) bool) loadResult {
	var r loadResult
	for _, j := range s.jobs {
		switch {
		case !include(j):
		case j.ended == 0 || j.ended > j.useless:
			r.useless++
		case j.ended > j.objective:
			r.late++
		default:
			r.inTime++
		}
	}
	return r
}

func (s *loadSim) resultOf(queue string) loadResult {
	return s.result(func(j *loadJob) bool { return j.queue.name == queue })
}

// loadRank is how the engine ranks a waiting job.
type loadRank struct {
	class       queueClass
	latestStart time.Duration
	limited     bool // the limit for late units is used up
}

// loadStart is the start of a job's run.
type loadStart struct {
	job  *loadJob
	at   time.Duration
	rank loadRank
}

// rankWaiting records how the waiting jobs rank, and counts those that have become useless since.
func (s *loadSim) rankWaiting() {
	before := s.waiting
	s.waiting = map[*loadJob]loadRank{}
	for _, j := range s.active {
		u := j.job.units[0]
		if u.state != unitWaiting || u.runNumber > 0 {
			continue
		}
		class, latestStart := s.e.classify(s.now, u)
		s.waiting[j] = loadRank{class, latestStart, s.e.lateOrder.debt[queueGroup{"s", false, j.queue.priority}] > 0}
		if class == classUseless && before[j].class == classLate {
			s.expired++
			s.findOvertaker(j, before[j].latestStart)
		}
	}
}

// checkOvertaking records the starts of the last round.
func (s *loadSim) checkOvertaking() {
	for j, rank := range s.waiting {
		if j.job.units[0].state != unitWaiting {
			s.recent = append(s.recent, loadStart{j, s.now, rank})
		}
	}
	s.recent = slices.DeleteFunc(s.recent, func(start loadStart) bool { return s.now-start.at > 10*time.Second })
}

// findOvertaker looks for a job that started instead of one whose last useful start has passed:
// within half of its run time before, with more time left and accepted later.
func (s *loadSim) findOvertaker(expired *loadJob, latestStart time.Duration) {
	limited := false
	for _, start := range s.recent {
		if start.at < latestStart-expired.queue.length/2 || start.job.queue.priority != expired.queue.priority {
			continue
		}
		if start.job.accepted <= expired.accepted || start.rank.latestStart <= latestStart {
			continue
		}
		if start.rank.class == classInTime && start.rank.limited {
			limited = true
			continue
		}
		s.overtaken = append(s.overtaken, fmt.Sprintf("%s, of use if started by %v, was preceded at %v by %s (class %d, latest start %v)",
			expired.id, latestStart, start.at, start.job.id, start.rank.class, start.rank.latestStart))
		return
	}
	if limited {
		s.overtakenByLimit++
	}
}
