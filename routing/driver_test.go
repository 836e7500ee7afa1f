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
	across     = time.Millisecond       // one way between availability zones
	within     = 100 * time.Microsecond // one way within one
	probeAfter = 50 * time.Millisecond  // nothing heard for so long: probe the connection
	probeWait  = 25 * time.Millisecond  // no answer to the probe: suspect it
	pingEvery  = 250 * time.Millisecond // a silent target is asked again
)

// plan is one run: its load, its faults, and the policies under test.
type plan struct {
	seed           uint64
	entries        int
	load           float64 // of the capacity of all targets when healthy
	length         time.Duration
	deadline       time.Duration
	attemptTimeout time.Duration // of the baseline
	shares         []float64     // of the client accounts in the load
	weights        []int         // of the client accounts; 1 where none
	slow, silent   int           // targets at a tenth of the speed, and cut off, from a quarter of the run to its end
	failing        int           // targets that answer errors at once, likewise
	recover        bool          // faults end at half the run
	baseline       bool          // round robin, three retries, first come first served without bounds
	routing        routing.Options
	admission      admission.Options
	anyZone        bool // entries have no preference
	comeBack       bool // refused clients ask again when told to, up to ten times
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
	accounts                         []*hdrhistogram.Histogram // microseconds; the deadline where no answer came in time
	all                              *hdrhistogram.Histogram
	served                           []*hdrhistogram.Histogram // of useful answers only
	succeeded, asked                 []int
	refusalWait                      *hdrhistogram.Histogram
	busy                             time.Duration // slot time spent on useful answers
	length                           time.Duration
	asksTotal                        int // by clients that come back
}

func (r *result) p99(account int) float64 {
	return float64(r.accounts[account].ValueAtQuantile(99)) / 1000
}
func (r *result) quantile(q float64) float64 { return float64(r.all.ValueAtQuantile(q)) / 1000 }
func (r *result) share() float64             { return float64(r.useful) / float64(r.offered) }
func (r *result) amplification() float64     { return float64(r.attempts) / float64(r.offered) }
func (r *result) goodput() float64 {
	return r.busy.Seconds() / r.length.Seconds() / (targets * slots)
}
func (r *result) success(account int) float64 {
	return float64(r.succeeded[account]) / float64(r.asked[account])
}

type timed struct {
	at  time.Duration
	seq int
	run func()
}
type schedule []timed

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(timed)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type driver struct {
	plan
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  schedule
	entries []*entrySim
	agents  []*agentSim
	result
}

type request struct {
	account  int
	service  time.Duration
	begun    time.Duration
	deadline time.Duration
	attempt  int
	tried    []routing.TargetID
	ended    bool
	asks     int
}

func (a *attempt) hop() time.Duration {
	if a.entry.zone == zone(a.target) {
		return within
	}
	return across
}

type attempt struct {
	req    *request
	entry  *entrySim
	target int
	ticket routing.Ticket
	sent   time.Duration
	ended  bool
}

type entrySim struct {
	router *routing.Router
	zone   string
	next   int // round robin
	out    []map[*attempt]bool
	heard  []time.Duration
}

type agentSim struct {
	target  int
	queue   *admission.Queue
	nextID  admission.ID
	pending map[admission.ID]*attempt
	fifo    []*attempt
	running int
}

func (d *driver) after(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.events, timed{at: d.now + wait, seq: d.seq, run: run})
}

func run(p plan) *result {
	d := &driver{plan: p, rng: rand.New(rand.NewPCG(p.seed, 1))}
	d.all = histogram()
	d.refusalWait = histogram()
	for range p.shares {
		d.accounts = append(d.accounts, histogram())
		d.served = append(d.served, histogram())
	}
	d.succeeded, d.asked = make([]int, len(p.shares)), make([]int, len(p.shares))
	d.build()
	rate := p.load * targets * slots / meanService().Seconds()
	for i, share := range p.shares {
		d.arrivals(i, rate*share)
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(timed)
		d.now = e.at
		e.run()
	}
	d.result.length = p.length
	return &d.result
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 100_000_000, 3) }

func (d *driver) build() {
	var ts []routing.Target
	for i := range targets {
		ts = append(ts, routing.Target{ID: name(i), Slots: slots, MaxInflight: connections, Zone: zone(i)})
		o := d.admission
		o.Slots = slots
		d.agents = append(d.agents, &agentSim{target: i, queue: admission.New(o), pending: map[admission.ID]*attempt{}})
	}
	for i := range d.plan.entries {
		o := d.routing
		o.Seed = d.seed + uint64(i)
		if !d.anyZone {
			o.Zone = zone(i)
		}
		e := &entrySim{router: routing.New(o), zone: zone(i), heard: make([]time.Duration, targets)}
		e.router.SetTargets(at(0), ts)
		for range targets {
			e.out = append(e.out, map[*attempt]bool{})
		}
		d.entries = append(d.entries, e)
	}
}

func name(i int) routing.TargetID { return routing.TargetID(fmt.Sprint("target-", i)) }
func zone(i int) string           { return [...]string{"wharf", "airside", "east"}[i%3] }

// Service times are Pareto between 4 and 400 ms with a shape of 1.5.
const (
	leastService = 4.0
	mostService  = 400.0
	shape        = 1.5
)

func (d *driver) service() time.Duration {
	tail := 1 - math.Pow(leastService/mostService, shape)
	ms := leastService / math.Pow(1-d.rng.Float64()*tail, 1/shape)
	return time.Duration(ms * float64(time.Millisecond))
}

func meanService() time.Duration {
	ratio := leastService / mostService
	ms := leastService * shape / (shape - 1) * (1 - math.Pow(ratio, shape-1)) / (1 - math.Pow(ratio, shape))
	return time.Duration(ms * float64(time.Millisecond))
}

func (d *driver) arrivals(account int, rate float64) {
	wait := time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
	if d.now+wait > d.plan.length {
		return
	}
	d.after(wait, func() {
		d.ask(&request{account: account, service: d.service()})
		d.arrivals(account, rate)
	})
}

func (d *driver) ask(r *request) {
	d.asksTotal++
	if r.asks == 0 {
		d.offered++
	}
	if r.asks == 0 {
		d.asked[r.account]++
	}
	r.begun = d.now
	r.deadline = d.now + d.deadline
	e := d.entries[d.rng.IntN(len(d.entries))]
	if d.baseline {
		d.roundRobin(e, r)
		return
	}
	d.try(e, r)
}

// faulty reports whether the target is one of the n broken ones from index
// first on, at this time.
func (d *driver) faulty(target, first, n int) bool {
	from, to := d.plan.length/4, 2*d.plan.length
	if d.recover {
		to = d.plan.length / 2
	}
	return target >= first && target < first+n && d.now >= from && d.now < to
}

func (d *driver) isSlow(t int) bool    { return d.faulty(t, 0, d.slow) }
func (d *driver) isSilent(t int) bool  { return d.faulty(t, d.slow, d.silent) }
func (d *driver) isFailing(t int) bool { return d.faulty(t, d.slow+d.silent, d.failing) }

func (d *driver) finish(r *request, useful bool) {
	if r.ended {
		return
	}
	r.ended = true
	took := d.now - r.begun
	if useful && took <= d.deadline {
		d.useful++
		d.succeeded[r.account]++
		_ = d.served[r.account].RecordValue(took.Microseconds())
		if d.now <= d.plan.length {
			d.busy += r.service
		}
	} else {
		took = d.deadline
	}
	_ = d.all.RecordValue(took.Microseconds())
	_ = d.accounts[r.account].RecordValue(took.Microseconds())
}

func (d *driver) refuse(r *request, after time.Duration) {
	if r.ended {
		return
	}
	d.refused++
	_ = d.refusalWait.RecordValue((d.now - r.begun).Microseconds())
	if d.comeBack && r.asks < 10 {
		again := &request{account: r.account, service: r.service, asks: r.asks + 1}
		r.ended = true
		d.after(after, func() { d.ask(again) })
		return
	}
	d.finish(r, false)
}

func (d *driver) weight(account int) int {
	if account < len(d.weights) {
		return d.weights[account]
	}
	return 1
}

func (d *driver) relativeWeight(account int) float64 {
	sum := 0
	for i := range d.shares {
		sum += d.weight(i)
	}
	return float64(d.weight(account)*len(d.shares)) / float64(sum)
}
