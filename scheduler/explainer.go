package scheduler

import "time"

// explainCacheTTL is for how long an Explainer keeps what it knows of a queue.
const explainCacheTTL = time.Second

// Explainer explains jobs at a bounded cost, however many are asked about: what
// all explanations share is worked out once for each decision, and what holds for
// all jobs of a queue once a second. It belongs to the goroutine that owns the
// Scheduler.
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

// Explain is [Scheduler.Explain] as of a decision that may be a second old; the
// explanation names its time.
func (x *Explainer) Explain(id JobID) (Explanation, bool) {
	if x.s.now.Sub(x.cachedSince) >= explainCacheTTL {
		x.cachedSince = x.s.now
		clear(x.cache)
	}
	return x.s.explain(id, x.head)
}

func (x *Explainer) head(q *queue, j *job) Explanation {
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
