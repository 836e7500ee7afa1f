package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Arrival is one scheduled request or job.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	// Tag identifies the arrival within the schedule.
	Tag string
	// Exactly one of Quick and Job is set.
	Quick *QuickArrival
	Job   *JobArrival
}

// QuickArrival holds the drawn parameters of one quick request.
type QuickArrival struct {
	Load        *QuickLoad
	ServiceTime time.Duration
	Resend      bool
}

// JobArrival holds the drawn parameters of one job.
type JobArrival struct {
	Load    *JobLoad
	Size    GangSize
	RunTime time.Duration
	// Estimate is the declared run time; 0 if none is declared.
	Estimate time.Duration
	Fail     bool
	Resend   bool
}

// Schedule draws all arrivals, ordered by time. The same plan always gives the same schedule.
// Each stream has its own random generator, so that changing one leaves the others unchanged.
func (p *Plan) Schedule() []Arrival {
	var all []Arrival
	for i := range p.Quick {
		all = append(all, p.quickArrivals(i)...)
	}
	for i := range p.Jobs {
		all = append(all, p.jobArrivals(i)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Bases of the random generators' stream numbers; the index within the plan is added.
const (
	rngStreamQuick  = 1 << 32
	rngStreamJob    = 2 << 32
	rngStreamCancel = 3 << 32
)

func (p *Plan) quickArrivals(i int) []Arrival {
	l := &p.Quick[i]
	rng := rand.New(rand.NewPCG(p.Seed, rngStreamQuick+uint64(i)))
	var list []Arrival
	for _, at := range p.drawArrivalTimes(rng, l.Rate, KindQuick, l.Account) {
		list = append(list, Arrival{
			At:    at,
			Tag:   "q" + strconv.Itoa(i) + "-" + strconv.Itoa(len(list)),
			Quick: &QuickArrival{Load: l, ServiceTime: l.ServiceTime.draw(rng), Resend: rng.Float64() < l.ResendShare},
		})
	}
	return list
}

func (p *Plan) jobArrivals(i int) []Arrival {
	l := &p.Jobs[i]
	rng := rand.New(rand.NewPCG(p.Seed, rngStreamJob+uint64(i)))
	var list []Arrival
	for _, at := range p.drawArrivalTimes(rng, l.Rate, KindJob, l.Account) {
		runTime := l.RunTime.draw(rng)
		list = append(list, Arrival{
			At:  at,
			Tag: "j" + strconv.Itoa(i) + "-" + strconv.Itoa(len(list)),
			Job: &JobArrival{
				Load:     l,
				Size:     l.drawSize(rng),
				RunTime:  runTime,
				Estimate: l.drawEstimate(rng, runTime),
				Fail:     rng.Float64() < l.FailureShare,
				Resend:   rng.Float64() < l.ResendShare,
			},
		})
	}
	return list
}

// drawArrivalTimes draws a Poisson process whose rate follows the bursts, by thinning a
// process with the highest rate.
func (p *Plan) drawArrivalTimes(rng *rand.Rand, rate float64, kind ArrivalKind, account string) []time.Duration {
	maxFactor := 1.0
	for _, b := range p.Bursts {
		if b.matches(kind, account) {
			maxFactor *= b.Factor
		}
	}
	var list []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / (rate * maxFactor)
		t := time.Duration(at * float64(time.Second))
		if t >= time.Duration(p.Duration) {
			return list
		}
		if rng.Float64()*maxFactor < p.burstFactor(t, kind, account) {
			list = append(list, t)
		}
	}
}

func (p *Plan) burstFactor(t time.Duration, kind ArrivalKind, account string) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		offset := t - time.Duration(b.At)
		if b.matches(kind, account) && offset >= 0 && offset < time.Duration(b.Length) {
			factor *= b.Factor
		}
	}
	return factor
}

func (b *Burst) matches(kind ArrivalKind, account string) bool {
	return b.Kind == kind && (b.Account == "" || b.Account == account)
}

func (l *LogNormal) draw(rng *rand.Rand) time.Duration {
	v := float64(l.Median) * math.Exp(l.Sigma*rng.NormFloat64())
	return time.Duration(min(v, float64(l.Max)))
}

func (l *JobLoad) drawSize(rng *rand.Rand) GangSize {
	total := 0.0
	for _, s := range l.Sizes {
		total += s.Weight
	}
	v := rng.Float64() * total
	for _, s := range l.Sizes {
		if v < s.Weight {
			return s
		}
		v -= s.Weight
	}
	return l.Sizes[len(l.Sizes)-1]
}

// drawEstimate draws a declared run time that differs from the actual one by at most the
// estimate error factor, uniformly on a logarithmic scale.
func (l *JobLoad) drawEstimate(rng *rand.Rand, runTime time.Duration) time.Duration {
	if l.EstimateErrorFactor == 0 {
		return 0
	}
	errorFactor := math.Pow(l.EstimateErrorFactor, 2*rng.Float64()-1)
	return time.Duration(float64(runTime) * errorFactor).Round(time.Millisecond)
}
