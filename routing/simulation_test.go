package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// The simulation runs the routers of several entries and the queues of the agents in
// virtual time. It models delays, slots and the faults of a scenario, nothing else.
const (
	crossZoneDelay = time.Millisecond       // one way between availability zones
	sameZoneDelay  = 100 * time.Microsecond // one way within an availability zone
	probeDelay     = 50 * time.Millisecond  // time without a reply after which the connection is probed
	probeTimeout   = 25 * time.Millisecond  // time without an answer to the probe after which the target is ejected
	pingInterval   = 250 * time.Millisecond // between probes of an unresponsive target
)

// scenario describes one run: its load, its faults, and the policies under test.
type scenario struct {
	seed               uint64
	entries            int
	load               float64 // as a multiple of the capacity of all targets without faults
	length             time.Duration
	deadline           time.Duration
	attemptTimeout     time.Duration // of the baseline only
	accountShares      []float64     // each client account's share of the load
	accountWeights     []int         // each client account's weight; 1 where missing
	slow, unresponsive int           // numbers of targets at a tenth of the speed, and cut off, from a quarter of the run on
	failing            int           // number of targets that answer errors at once, from a quarter of the run on
	faultsEnd          bool          // faults end at half the run
	baseline           bool          // use round robin with three retries, and unbounded FIFO queues
	routing            routing.Options
	admission          admission.Options
	noZonePreference   bool // entries do not prefer their own availability zone
	resubmit           bool // refused clients try again after RetryAfter, up to ten times
}

const (
	targets     = 11
	slots       = 8
	maxInflight = 64
)

// result holds the measurements of one run.
type result struct {
	offered, useful, refused, failed int
	attempts                         int
	accountLatency                   []*hdrhistogram.Histogram // by account, microseconds; the deadline if no answer came in time
	latency                          *hdrhistogram.Histogram
	accountUsefulLatency             []*hdrhistogram.Histogram // by account, microseconds; of answers in time only
	accountUseful, accountOffered    []int
	refusalLatency                   *hdrhistogram.Histogram
	usefulSlotTime                   time.Duration // slot time spent on answers in time
	length                           time.Duration
	submissions                      int // including those of clients that try again
}

func (r *result) accountP99(account int) float64 {
	return float64(r.accountLatency[account].ValueAtQuantile(99)) / 1000
}
func (r *result) quantile(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
func (r *result) successRate() float64       { return float64(r.useful) / float64(r.offered) }
func (r *result) amplification() float64     { return float64(r.attempts) / float64(r.offered) }
func (r *result) goodput() float64 {
	return r.usefulSlotTime.Seconds() / r.length.Seconds() / (targets * slots)
}
func (r *result) accountSuccessRate(account int) float64 {
	return float64(r.accountUseful[account]) / float64(r.accountOffered[account])
}

// timedEvent is an event of the simulation. Events at the same time run in order of
// seq.
type timedEvent struct {
	at  time.Duration
	seq int
	run func()
}
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	scenario
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  eventHeap
	entries []*entrySim
	agents  []*agentSim
	result
}

type request struct {
	account       int
	serviceTime   time.Duration
	submittedAt   time.Duration
	deadline      time.Duration
	attempt       int
	tried         []routing.TargetID
	ended         bool
	resubmissions int
}

func (a *attempt) networkDelay() time.Duration {
	if a.entry.zone == zone(a.target) {
		return sameZoneDelay
	}
	return crossZoneDelay
}

type attempt struct {
	request *request
	entry   *entrySim
	target  int
	ticket  routing.Ticket
	sentAt  time.Duration
	ended   bool
}

// entrySim is an entry. inFlight and lastReplyAt are indexed by target.
type entrySim struct {
	router      *routing.Router
	zone        string
	nextTarget  int // round robin
	inFlight    []map[*attempt]bool
	lastReplyAt []time.Duration
}

// agentSim is an agent with its target. The baseline uses fifo and running, the
// candidate queue and requests.
type agentSim struct {
	target   int
	queue    *admission.Queue
	nextID   admission.ID
	requests map[admission.ID]*attempt
	fifo     []*attempt
	running  int
}

func (s *simulation) schedule(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, timedEvent{at: s.now + wait, seq: s.seq, run: run})
}

func run(sc scenario) *result {
	s := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1))}
	s.latency = newHistogram()
	s.refusalLatency = newHistogram()
	for range sc.accountShares {
		s.accountLatency = append(s.accountLatency, newHistogram())
		s.accountUsefulLatency = append(s.accountUsefulLatency, newHistogram())
	}
	s.accountUseful, s.accountOffered = make([]int, len(sc.accountShares)), make([]int, len(sc.accountShares))
	s.createEntriesAndAgents()
	rate := sc.load * targets * slots / meanServiceTime().Seconds()
	for i, share := range sc.accountShares {
		s.scheduleArrivals(i, rate*share)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.run()
	}
	s.result.length = sc.length
	return &s.result
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 100_000_000, 3) }

func (s *simulation) createEntriesAndAgents() {
	var ts []routing.Target
	for i := range targets {
		ts = append(ts, routing.Target{ID: targetID(i), Slots: slots, MaxInflight: maxInflight, Zone: zone(i)})
		o := s.admission
		o.Slots = slots
		s.agents = append(s.agents, &agentSim{target: i, queue: admission.New(o), requests: map[admission.ID]*attempt{}})
	}
	for i := range s.scenario.entries {
		o := s.routing
		o.Seed = s.seed + uint64(i)
		if !s.noZonePreference {
			o.Zone = zone(i)
		}
		e := &entrySim{router: routing.New(o), zone: zone(i), lastReplyAt: make([]time.Duration, targets)}
		e.router.SetTargets(at(0), ts)
		for range targets {
			e.inFlight = append(e.inFlight, map[*attempt]bool{})
		}
		s.entries = append(s.entries, e)
	}
}

func targetID(i int) routing.TargetID { return routing.TargetID(fmt.Sprint("target-", i)) }
func zone(i int) string               { return [...]string{"wharf", "airside", "east"}[i%3] }

// Service times follow a bounded Pareto distribution.
const (
	minServiceMillis = 4.0
	maxServiceMillis = 400.0
	paretoShape      = 1.5
)

func (s *simulation) randomServiceTime() time.Duration {
	tail := 1 - math.Pow(minServiceMillis/maxServiceMillis, paretoShape)
	ms := minServiceMillis / math.Pow(1-s.rng.Float64()*tail, 1/paretoShape)
	return time.Duration(ms * float64(time.Millisecond))
}

func meanServiceTime() time.Duration {
	ratio := minServiceMillis / maxServiceMillis
	ms := minServiceMillis * paretoShape / (paretoShape - 1) * (1 - math.Pow(ratio, paretoShape-1)) / (1 - math.Pow(ratio, paretoShape))
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *simulation) scheduleArrivals(account int, rate float64) {
	wait := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if s.now+wait > s.scenario.length {
		return
	}
	s.schedule(wait, func() {
		s.submit(&request{account: account, serviceTime: s.randomServiceTime()})
		s.scheduleArrivals(account, rate)
	})
}

func (s *simulation) submit(r *request) {
	s.submissions++
	if r.resubmissions == 0 {
		s.offered++
	}
	if r.resubmissions == 0 {
		s.accountOffered[r.account]++
	}
	r.submittedAt = s.now
	r.deadline = s.now + s.deadline
	e := s.entries[s.rng.IntN(len(s.entries))]
	if s.baseline {
		s.roundRobin(e, r)
		return
	}
	s.sendAttempt(e, r)
}

// isFaulty reports whether the target is one of the n targets from index first on,
// and the faults are active now.
func (s *simulation) isFaulty(target, first, n int) bool {
	start, end := s.scenario.length/4, 2*s.scenario.length
	if s.faultsEnd {
		end = s.scenario.length / 2
	}
	return target >= first && target < first+n && s.now >= start && s.now < end
}

func (s *simulation) isSlow(t int) bool         { return s.isFaulty(t, 0, s.slow) }
func (s *simulation) isUnresponsive(t int) bool { return s.isFaulty(t, s.slow, s.unresponsive) }
func (s *simulation) isFailing(t int) bool      { return s.isFaulty(t, s.slow+s.unresponsive, s.failing) }

func (s *simulation) finish(r *request, useful bool) {
	if r.ended {
		return
	}
	r.ended = true
	latency := s.now - r.submittedAt
	if useful && latency <= s.deadline {
		s.useful++
		s.accountUseful[r.account]++
		_ = s.accountUsefulLatency[r.account].RecordValue(latency.Microseconds())
		if s.now <= s.scenario.length {
			s.usefulSlotTime += r.serviceTime
		}
	} else {
		latency = s.deadline
	}
	_ = s.latency.RecordValue(latency.Microseconds())
	_ = s.accountLatency[r.account].RecordValue(latency.Microseconds())
}

// refuse finishes a refused request, or submits it again after retryAfter.
func (s *simulation) refuse(r *request, retryAfter time.Duration) {
	if r.ended {
		return
	}
	s.refused++
	_ = s.refusalLatency.RecordValue((s.now - r.submittedAt).Microseconds())
	if s.resubmit && r.resubmissions < 10 {
		next := &request{account: r.account, serviceTime: r.serviceTime, resubmissions: r.resubmissions + 1}
		r.ended = true
		s.schedule(retryAfter, func() { s.submit(next) })
		return
	}
	s.finish(r, false)
}

func (s *simulation) weight(account int) int {
	if account < len(s.accountWeights) {
		return s.accountWeights[account]
	}
	return 1
}

func (s *simulation) relativeWeight(account int) float64 {
	sum := 0
	for i := range s.accountShares {
		sum += s.weight(i)
	}
	return float64(s.weight(account)*len(s.accountShares)) / float64(sum)
}
