package gateway

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// LookupStatus is the result of looking up the state of a job.
type LookupStatus int

// Results of Gateway.JobStatus.
const (
	LookupUnavailable LookupStatus = iota // neither the planner nor the records could be reached
	LookupFound
	LookupNotFound
)

// JobStatus returns the state of a job: from the planner, which is most up to date, else from the
// records, else through a peer.
func (g *Gateway) JobStatus(ctx context.Context, id workload.JobID) (engine.JobStatus, LookupStatus) {
	g.counters.Lookups.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if found, ok := g.lookupAtPlanner(ctx, id); ok {
		return found, LookupFound
	}
	if g.shouldTryStore() {
		found, ok, err := g.jobStore.Lookup(ctx, id)
		switch {
		case err == nil && ok:
			return found, LookupFound
		case err == nil:
			return engine.JobStatus{}, LookupNotFound
		}
		g.markStoreFailed()
	}
	found, status := g.lookupThroughPeers(ctx, id)
	if status == LookupUnavailable {
		g.counters.LookupsFailed.Add(1)
	}
	return found, status
}

func (g *Gateway) lookupAtPlanner(ctx context.Context, id workload.JobID) (engine.JobStatus, bool) {
	_, planner := g.planner.get()
	if planner == g.cfg.Listen || planner == "" {
		return g.localLookup(id)
	}
	reply := g.lookupAt(ctx, planner, &link.JobQuery{Job: id})
	if reply == nil || !reply.Known {
		return engine.JobStatus{}, false
	}
	return reply.JobStatus(), true
}

func (g *Gateway) lookupAt(ctx context.Context, address string, msg *link.JobQuery) *link.JobQueryReply {
	timeout := lookupTimeout
	if msg.ReadRecords {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := g.pool.Call(ctx, address, msg)
	if err != nil {
		return nil
	}
	reply, _ := raw.(*link.JobQueryReply)
	return reply
}

func (g *Gateway) lookupThroughPeers(ctx context.Context, id workload.JobID) (engine.JobStatus, LookupStatus) {
	for _, address := range g.relayCandidates() {
		reply := g.lookupAt(ctx, address, &link.JobQuery{Job: id, ReadRecords: true})
		switch {
		case reply == nil:
		case reply.Known:
			return reply.JobStatus(), LookupFound
		case reply.NotFound:
			return engine.JobStatus{}, LookupNotFound
		}
	}
	return engine.JobStatus{}, LookupUnavailable
}

// handleLookup answers a lookup of another gateway.
func (g *Gateway) handleLookup(ctx context.Context, m *link.JobQuery) *link.JobQueryReply {
	found, ok := g.localLookup(m.Job)
	if !ok && m.ReadRecords {
		var err error
		found, ok, err = g.jobStore.Lookup(ctx, m.Job)
		if err == nil && !ok {
			return &link.JobQueryReply{NotFound: true}
		}
	}
	if !ok {
		return &link.JobQueryReply{}
	}
	return &link.JobQueryReply{Known: true, State: found.State, Queue: found.Queue, Account: found.Account}
}

func (g *Gateway) localLookup(id workload.JobID) (engine.JobStatus, bool) {
	t := g.currentTerm()
	if t == nil {
		return engine.JobStatus{}, false
	}
	return t.lookup(id)
}

func (g *Gateway) localPending() (map[string]int, bool) {
	t := g.currentTerm()
	if t == nil || !t.active() {
		return nil, false
	}
	return t.pending()
}

// PendingJobs returns how many accepted jobs of a queue have not started. It returns false if the
// planner cannot be asked.
func (g *Gateway) PendingJobs(ctx context.Context, queue string) (int, bool) {
	if counts, ok := g.localPending(); ok {
		return counts[queue], true
	}
	_, planner := g.planner.get()
	if planner == "" || planner == g.cfg.Listen {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	raw, err := g.pool.Call(ctx, planner, &link.PendingQuery{})
	if err != nil {
		return 0, false
	}
	reply, ok := raw.(*link.PendingQueryReply)
	if !ok || !reply.Planning {
		return 0, false
	}
	return reply.Counts[queue], true
}
