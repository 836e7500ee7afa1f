package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Submit makes a job durable, through a peer where the store does not serve this
// gateway.
func (g *Gateway) Submit(ctx context.Context, j *workload.Job) link.Outcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	outcome := link.OutcomeNotDone
	if g.storeWorth() {
		var at store.Revision
		outcome, at = g.intake.Accept(ctx, j)
		if outcome == link.OutcomeStored {
			g.notice(&link.Notice{Job: j, Order: int64(at)})
		}
		g.storeSaid(outcome)
	}
	if outcome == link.OutcomeNotDone {
		outcome = g.relay(ctx, &link.Accept{Job: *j})
	}
	g.countSubmit(outcome)
	g.calls.Observe("submit/"+outcome.String(), time.Since(began))
	return outcome
}

func (g *Gateway) countSubmit(outcome link.Outcome) {
	switch outcome {
	case link.OutcomeStored:
		g.counts.Accepted.Add(1)
	case link.OutcomeUnknown:
		g.counts.AcceptUnknown.Add(1)
	default:
		g.counts.Refused.Add(1)
	}
}

// Cancel makes a cancellation durable.
func (g *Gateway) Cancel(ctx context.Context, queue string, id workload.JobID) link.Outcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	outcome := link.OutcomeNotDone
	if g.storeWorth() {
		outcome = g.intake.Cancel(ctx, queue, id)
		if outcome == link.OutcomeStored {
			g.notice(&link.Notice{Cancel: id})
		}
		g.storeSaid(outcome)
	}
	if outcome == link.OutcomeNotDone {
		outcome = g.relay(ctx, &link.Cancel{Job: id, Queue: queue})
	}
	if outcome == link.OutcomeStored {
		g.counts.Cancelled.Add(1)
	}
	g.calls.Observe("cancel/"+outcome.String(), time.Since(began))
	return outcome
}

// storeWorth says whether the store is worth a try: after it failed not before it has
// answered another call. The configuration is asked for all the time, so a try here would
// find nothing out that is not known sooner, and hold its caller up.
func (g *Gateway) storeWorth() bool {
	failed := time.Duration(g.storeFailedAt.Load())
	since := lease.BootTime() - failed
	return failed == 0 || since > storeRest || g.cfg.StoreAge() < since
}

func (g *Gateway) storeSaid(outcome link.Outcome) {
	switch outcome {
	case link.OutcomeNotDone, link.OutcomeUnknown:
		g.storeFailedAt.Store(int64(lease.BootTime()))
	default:
		g.storeFailedAt.Store(0)
	}
}

// relay lets peers write a record, one after the other, until one is served by the
// store. A peer whose answer is lost may have written it.
func (g *Gateway) relay(ctx context.Context, msg any) link.Outcome {
	for _, address := range g.relays() {
		if ctx.Err() != nil {
			return link.OutcomeNotDone
		}
		outcome := g.relayTo(ctx, address, msg)
		if outcome != link.OutcomeNotDone {
			return outcome
		}
	}
	return link.OutcomeNotDone
}

// relays returns the peers to work through, the planner first. Those that lately said
// that the store does not serve them either are left out: asking them would only hold up
// a refusal that is certain, and a question cut short leaves the outcome unknown.
func (g *Gateway) relays() []string {
	_, planner := g.planners.get()
	candidates := g.members.others()
	if planner != "" && planner != g.cfg.Listen {
		candidates = append([]string{planner}, candidates...)
	}
	now := lease.BootTime()
	var out []string
	for _, m := range candidates {
		if !slices.Contains(out, m) && !g.outage.unserved(now, m) {
			out = append(out, m)
		}
	}
	return out
}

func (g *Gateway) relayTo(ctx context.Context, address string, msg any) link.Outcome {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	dial, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	conn, err := g.pool.Conn(dial, address)
	if err != nil {
		return link.OutcomeNotDone
	}
	g.counts.Relayed.Add(1)
	raw, err := conn.Call(ctx, msg)
	if err != nil {
		return unsent(err)
	}
	reply, ok := raw.(*link.RecordReply)
	if !ok {
		return link.OutcomeUnknown
	}
	return reply.Outcome
}

// Answer is what is known of a job that a caller asks for.
type Answer int

// Answers.
const (
	AnswerUnavailable Answer = iota // nobody can tell now
	AnswerKnown
	AnswerAbsent
)

// State returns the state of a job: from the planner, which knows best, else from the
// records, else through a peer.
func (g *Gateway) State(ctx context.Context, id workload.JobID) (engine.Lookup, Answer) {
	g.counts.Lookups.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if found, ok := g.askPlanner(ctx, id); ok {
		return found, AnswerKnown
	}
	if g.storeWorth() {
		found, ok, err := g.intake.Lookup(ctx, id)
		switch {
		case err == nil && ok:
			return found, AnswerKnown
		case err == nil:
			return engine.Lookup{}, AnswerAbsent
		}
		g.storeFailedAt.Store(int64(lease.BootTime()))
	}
	found, answer := g.lookupByPeers(ctx, id)
	if answer == AnswerUnavailable {
		g.counts.LookupsFailed.Add(1)
	}
	return found, answer
}

func (g *Gateway) askPlanner(ctx context.Context, id workload.JobID) (engine.Lookup, bool) {
	_, planner := g.planners.get()
	if planner == g.cfg.Listen || planner == "" {
		return g.ownLookup(id)
	}
	reply := g.lookupAt(ctx, planner, &link.Lookup{Job: id})
	if reply == nil || !reply.Known {
		return engine.Lookup{}, false
	}
	return engine.Lookup{State: reply.State, Queue: reply.Queue, Account: reply.Account}, true
}

func (g *Gateway) lookupAt(ctx context.Context, address string, msg *link.Lookup) *link.LookupReply {
	timeout := lookupTimeout
	if msg.Records {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := g.pool.Call(ctx, address, msg)
	if err != nil {
		return nil
	}
	reply, _ := raw.(*link.LookupReply)
	return reply
}

func (g *Gateway) lookupByPeers(ctx context.Context, id workload.JobID) (engine.Lookup, Answer) {
	for _, address := range g.relays() {
		reply := g.lookupAt(ctx, address, &link.Lookup{Job: id, Records: true})
		switch {
		case reply == nil:
		case reply.Known:
			return engine.Lookup{State: reply.State, Queue: reply.Queue, Account: reply.Account}, AnswerKnown
		case reply.Absent:
			return engine.Lookup{}, AnswerAbsent
		}
	}
	return engine.Lookup{}, AnswerUnavailable
}

// answerLookup answers another gateway's question.
func (g *Gateway) answerLookup(ctx context.Context, m *link.Lookup) *link.LookupReply {
	found, ok := g.ownLookup(m.Job)
	if !ok && m.Records {
		var err error
		found, ok, err = g.intake.Lookup(ctx, m.Job)
		if err == nil && !ok {
			return &link.LookupReply{Absent: true}
		}
	}
	if !ok {
		return &link.LookupReply{}
	}
	return &link.LookupReply{Known: true, State: found.State, Queue: found.Queue, Account: found.Account}
}

func (g *Gateway) ownLookup(id workload.JobID) (engine.Lookup, bool) {
	t := g.currentTerm()
	if t == nil {
		return engine.Lookup{}, false
	}
	return t.lookup(id)
}

func (g *Gateway) ownPending() (map[string]int, bool) {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return nil, false
	}
	return t.pending()
}

// Pending returns how many accepted jobs of a queue have not begun, and false where the
// planner can't be asked.
func (g *Gateway) Pending(ctx context.Context, queue string) (int, bool) {
	if counts, ok := g.ownPending(); ok {
		return counts[queue], true
	}
	_, planner := g.planners.get()
	if planner == "" || planner == g.cfg.Listen {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	raw, err := g.pool.Call(ctx, planner, &link.Pending{})
	if err != nil {
		return 0, false
	}
	reply, ok := raw.(*link.PendingReply)
	if !ok || !reply.Planning {
		return 0, false
	}
	return reply.Counts[queue], true
}
