package scheduler

import "time"

// explainCacheTTL is how long an Explainer keeps the explanations of the first
// jobs of queues.
const explainCacheTTL = time.Second

// Explainer explains jobs at a bounded cost, however many are asked about. It
// computes what all explanations share once per decision, and the explanation
// of the first job of each queue once a second. Only the goroutine that owns
// the Scheduler may use it.
type Explainer struct {
	s           *Scheduler
	cachedSince time.Time
	cache       map[*queue]Explanation
	state       *explainState
}

// NewExplainer returns an Explainer of a Scheduler.
func NewExplainer(s *Scheduler) *Explainer {
	return &Explainer{s: s, cachedSince: s.now, cache: map[*queue]Explanation{}}
}

// Explain is like [Scheduler.Explain], but the explanation may refer to a
// decision up to a second ago, whose time it names.
func (x *Explainer) Explain(id JobID) (Explanation, bool) {
	if x.s.now.Sub(x.cachedSince) >= explainCacheTTL {
		x.cachedSince = x.s.now
		clear(x.cache)
	}
	return x.s.explain(id, x.explainHead)
}

func (x *Explainer) explainHead(q *queue, j *job) Explanation {
	if e, ok := x.cache[q]; ok && e.Job == j.ID {
		return e
	}
	if x.state == nil || x.state.steps != x.s.steps {
		x.state = x.s.newExplainState()
	}
	e := x.s.explainHead(q, j, x.state)
	x.cache[q] = e
	return e
}
