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

// The driver puts timed events through the routers of several entries and the
// queues of the agents, in virtual time. It models no more than delays, slots
// and the faults named in plan.

const (
	crossZoneDelay = time.Millisecond       // one way between availability zones
	sameZoneDelay  = 100 * time.Microsecond // one way within one
	probeDelay     = 50 * time.Millisecond  // nothing heard for so long: probe the connection
	probeTimeout   = 25 * time.Millisecond  // no answer to the probe: suspect it
	pingInterval   = 250 * time.Millisecond // a silent target is asked again
)

// scenario is one run: its load, its faults, and the policies under test.
type scenario struct {
	seed               uint64
	entries            int
	load               float64 // of the capacity of all targets when healthy
	length             time.Duration
	deadline           time.Duration
	attemptTimeout     time.Duration // of the baseline
	accountShares      []float64     // of the client accounts in the load
	accountWeights     []int         // of the client accounts; 1 where none
	slow, unresponsive int           // targets at a tenth of the speed, and cut off, from a quarter of the run to its end
	failing            int           // targets that answer errors at once, likewise
	faultsEnd          bool          // faults end at half the run
	baseline           bool          // round robin, three retries, first come first served without bounds
	routing            routing.Options
	admission          admission.Options
	noZonePreference   bool // entries have no preference
	resubmit           bool // refused clients ask again when told to, up to ten times
}

const (
	targets     = 11
	slots       = 8
	connections = 64
)

// result is what one run gave.
type result struct {
	offered, useful, refused, failed int
	attempts                         int
	accountLatency                   []*hdrhistogram.Histogram // microseconds; the deadline where no answer came in time
	latency                          *hdrhistogram.Histogram
	accountUsefulLatency             []*hdrhistogram.Histogram // of useful answers only
	accountUseful, accountOffered    []int
	refusalLatency                   *hdrhistogram.Histogram
	usefulSlotTime                   time.Duration // slot time spent on useful answers
	length                           time.Duration
	submissions                      int // by clients that come back
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

type timedEvent struct {
	at  time.Duration
	seq int
	run func()
}
type eventHeap []timedEvent

func (s eventHeap) Len() int { return len(s) }
func (s eventHeap) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s eventHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventHeap) Push(x any)   { *s = append(*s, x.(timedEvent)) }
func (s *eventHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

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

type entrySim struct {
	router      *routing.Router
	zone        string
	nextTarget  int // round robin
	inFlight    []map[*attempt]bool
	lastReplyAt []time.Duration
}

type agentSim struct {
	target   int
	queue    *admission.Queue
	nextID   admission.ID
	requests map[admission.ID]*attempt
	fifo     []*attempt
	running  int
}

func (d *simulation) schedule(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.events, timedEvent{at: d.now + wait, seq: d.seq, run: run})
}

func run(p scenario) *result {
	d := &simulation{scenario: p, rng: rand.New(rand.NewPCG(p.seed, 1))}
	d.latency = newHistogram()
	d.refusalLatency = newHistogram()
	for range p.accountShares {
		d.accountLatency = append(d.accountLatency, newHistogram())
		d.accountUsefulLatency = append(d.accountUsefulLatency, newHistogram())
	}
	d.accountUseful, d.accountOffered = make([]int, len(p.accountShares)), make([]int, len(p.accountShares))
	d.createEntriesAndAgents()
	rate := p.load * targets * slots / meanServiceTime().Seconds()
	for i, share := range p.accountShares {
		d.scheduleArrivals(i, rate*share)
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(timedEvent)
		d.now = e.at
		e.run()
	}
	d.result.length = p.length
	return &d.result
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 100_000_000, 3) }

func (d *simulation) createEntriesAndAgents() {
	var ts []routing.Target
	for i := range targets {
		ts = append(ts, routing.Target{ID: targetID(i), Slots: slots, MaxInflight: connections, Zone: zone(i)})
		o := d.admission
		o.Slots = slots
		d.agents = append(d.agents, &agentSim{target: i, queue: admission.New(o), requests: map[admission.ID]*attempt{}})
	}
	for i := range d.scenario.entries {
		o := d.routing
		o.Seed = d.seed + uint64(i)
		if !d.noZonePreference {
			o.Zone = zone(i)
		}
		e := &entrySim{router: routing.New(o), zone: zone(i), lastReplyAt: make([]time.Duration, targets)}
		e.router.SetTargets(at(0), ts)
		for range targets {
			e.inFlight = append(e.inFlight, map[*attempt]bool{})
		}
		d.entries = append(d.entries, e)
	}
}

func targetID(i int) routing.TargetID { return routing.TargetID(fmt.Sprint("target-", i)) }
func zone(i int) string               { return [...]string{"wharf", "airside", "east"}[i%3] }

// Service times are Pareto between 4 and 400 ms with a paretoShape of 1.5.
const (
	minServiceMillis = 4.0
	maxServiceMillis = 400.0
	paretoShape      = 1.5
)

func (d *simulation) randomServiceTime() time.Duration {
	tail := 1 - math.Pow(minServiceMillis/maxServiceMillis, paretoShape)
	ms := minServiceMillis / math.Pow(1-d.rng.Float64()*tail, 1/paretoShape)
	return time.Duration(ms * float64(time.Millisecond))
}

func meanServiceTime() time.Duration {
	ratio := minServiceMillis / maxServiceMillis
	ms := minServiceMillis * paretoShape / (paretoShape - 1) * (1 - math.Pow(ratio, paretoShape-1)) / (1 - math.Pow(ratio, paretoShape))
	return time.Duration(ms * float64(time.Millisecond))
}

func (d *simulation) scheduleArrivals(account int, rate float64) {
	wait := time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
	if d.now+wait > d.scenario.length {
		return
	}
	d.schedule(wait, func() {
		d.submit(&request{account: account, serviceTime: d.randomServiceTime()})
		d.scheduleArrivals(account, rate)
	})
}

func (d *simulation) submit(r *request) {
	d.submissions++
	if r.resubmissions == 0 {
		d.offered++
	}
	if r.resubmissions == 0 {
		d.accountOffered[r.account]++
	}
	r.submittedAt = d.now
	r.deadline = d.now + d.deadline
	e := d.entries[d.rng.IntN(len(d.entries))]
	if d.baseline {
		d.roundRobin(e, r)
		return
	}
	d.sendAttempt(e, r)
}

// isFaulty reports whether the target is one of the n broken ones from index
// first on, at this time.
func (d *simulation) isFaulty(target, first, n int) bool {
	from, to := d.scenario.length/4, 2*d.scenario.length
	if d.faultsEnd {
		to = d.scenario.length / 2
	}
	return target >= first && target < first+n && d.now >= from && d.now < to
}

func (d *simulation) isSlow(t int) bool         { return d.isFaulty(t, 0, d.slow) }
func (d *simulation) isUnresponsive(t int) bool { return d.isFaulty(t, d.slow, d.unresponsive) }
func (d *simulation) isFailing(t int) bool      { return d.isFaulty(t, d.slow+d.unresponsive, d.failing) }

func (d *simulation) finish(r *request, useful bool) {
	if r.ended {
		return
	}
	r.ended = true
	took := d.now - r.submittedAt
	if useful && took <= d.deadline {
		d.useful++
		d.accountUseful[r.account]++
		_ = d.accountUsefulLatency[r.account].RecordValue(took.Microseconds())
		if d.now <= d.scenario.length {
			d.usefulSlotTime += r.serviceTime
		}
	} else {
		took = d.deadline
	}
	_ = d.latency.RecordValue(took.Microseconds())
	_ = d.accountLatency[r.account].RecordValue(took.Microseconds())
}

func (d *simulation) refuse(r *request, after time.Duration) {
	if r.ended {
		return
	}
	d.refused++
	_ = d.refusalLatency.RecordValue((d.now - r.submittedAt).Microseconds())
	if d.resubmit && r.resubmissions < 10 {
		again := &request{account: r.account, serviceTime: r.serviceTime, resubmissions: r.resubmissions + 1}
		r.ended = true
		d.schedule(after, func() { d.submit(again) })
		return
	}
	d.finish(r, false)
}

func (d *simulation) weight(account int) int {
	if account < len(d.accountWeights) {
		return d.accountWeights[account]
	}
	return 1
}

func (d *simulation) relativeWeight(account int) float64 {
	sum := 0
	for i := range d.accountShares {
		sum += d.weight(i)
	}
	return float64(d.weight(account)*len(d.accountShares)) / float64(sum)
}
