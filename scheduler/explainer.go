package scheduler

import "time"

// explainFor is for how long an Explainer keeps what it knows of a queue.
const explainFor = time.Second

// Explainer explains jobs at a bounded cost, however many are asked about: what
// all explanations share is worked out once for each decision, and what holds for
// all jobs of a queue once a second. It belongs to the goroutine that owns the
// Scheduler.
type Explainer struct {
	s     *Scheduler
	since time.Time
	heads map[*queue]Explanation
	facts *facts
}

// NewExplainer returns an Explainer of a Scheduler.
func NewExplainer(s *Scheduler) *Explainer {
	return &Explainer{s: s, since: s.now, heads: map[*queue]Explanation{}}
}

// Explain is [Scheduler.Explain] as of a decision that may be a second old; the
// explanation names its time.
func (x *Explainer) Explain(id JobID) (Explanation, bool) {
	if x.s.now.Sub(x.since) >= explainFor {
		x.since = x.s.now
		clear(x.heads)
	}
	return x.s.explain(id, x.head)
}

func (x *Explainer) head(q *queue, j *job) Explanation {
	if e, ok := x.heads[q]; ok && e.Job == j.ID {
		return e
	}
	if x.facts == nil || x.facts.steps != x.s.steps {
		x.facts = x.s.factsNow()
	}
	e := x.s.explainHead(q, j, x.facts)
	x.heads[q] = e
	return e
}
