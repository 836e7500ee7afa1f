package gateway

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// LookupStatus is what is known of a job that a caller asks for.
type LookupStatus int

// Answers.
const (
	LookupUnavailable LookupStatus = iota // nobody can tell now
	LookupFound
	LookupNotFound
)

// State returns the state of a job: from the planner, which knows best, else from the
// records, else through a peer.
func (g *Gateway) State(ctx context.Context, id workload.JobID) (engine.JobStatus, LookupStatus) {
	g.counts.Lookups.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if found, ok := g.askPlanner(ctx, id); ok {
		return found, LookupFound
	}
	if g.storeWorth() {
		found, ok, err := g.intake.Lookup(ctx, id)
		switch {
		case err == nil && ok:
			return found, LookupFound
		case err == nil:
			return engine.JobStatus{}, LookupNotFound
		}
		g.storeFailed()
	}
	found, answer := g.lookupByPeers(ctx, id)
	if answer == LookupUnavailable {
		g.counts.LookupsFailed.Add(1)
	}
	return found, answer
}

func (g *Gateway) askPlanner(ctx context.Context, id workload.JobID) (engine.JobStatus, bool) {
	_, planner := g.planners.get()
	if planner == g.cfg.Listen || planner == "" {
		return g.ownLookup(id)
	}
	reply := g.lookupAt(ctx, planner, &link.Lookup{Job: id})
	if reply == nil || !reply.Known {
		return engine.JobStatus{}, false
	}
	return reply.Lookup(), true
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

func (g *Gateway) lookupByPeers(ctx context.Context, id workload.JobID) (engine.JobStatus, LookupStatus) {
	for _, address := range g.relays() {
		reply := g.lookupAt(ctx, address, &link.Lookup{Job: id, Records: true})
		switch {
		case reply == nil:
		case reply.Known:
			return reply.Lookup(), LookupFound
		case reply.Absent:
			return engine.JobStatus{}, LookupNotFound
		}
	}
	return engine.JobStatus{}, LookupUnavailable
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

func (g *Gateway) ownLookup(id workload.JobID) (engine.JobStatus, bool) {
	t := g.currentTerm()
	if t == nil {
		return engine.JobStatus{}, false
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
