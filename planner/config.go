package planner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// AgentClient sends messages of the gang protocol to agents and returns their
// replies. A lost message or reply is an error; the planner sends it again.
type AgentClient interface {
	SendGangMessage(ctx context.Context, agent string, m gang.Message) (gang.Reply, error)
}

// RetentionLease is the store lease under which ended records are kept.
// Invalidate reports that the store no longer has the lease.
type RetentionLease interface {
	Current(ctx context.Context) (store.LeaseID, error)
	Invalidate(id store.LeaseID)
}

// Config configures a Planner.
type Config struct {
	Service string
	// Epoch is the fencing epoch of this term.
	Epoch   uint64
	Store   store.Store // for listing and watching the job records
	Jobs    *jobs.Store
	Agents  AgentClient
	Metrics *metrics.Set
	Log     *logrus.Entry
	// Document is the active document at the start of the term.
	Document  *document.ActiveVersion
	Retention RetentionLease
}

const (
	// resendInterval is how long a reply of the gang protocol is awaited
	// before the message is sent again.
	resendInterval = 400 * time.Millisecond
	// requestTimeout bounds one request to an agent or to the store.
	requestTimeout = 2 * time.Second
	// maxTaskStop is the longest time in which a target stops a task.
	maxTaskStop = 3 * time.Second
	// settlingPeriod is how long after the start of a term no job is
	// rejected as larger than the topology, since agents may still be
	// announcing themselves.
	settlingPeriod = 5 * time.Second
	// storeRetryInterval is the pause before a failed write or listing is
	// retried.
	storeRetryInterval = 500 * time.Millisecond
	// maxRecentlyEnded limits how many ended jobs are kept for status
	// requests.
	maxRecentlyEnded = 4096
	// workQueueSize is the number of functions that can wait for the planner's
	// goroutine.
	workQueueSize = 8192
	// housekeepingInterval is the interval of periodic work such as detecting
	// lost agents.
	housekeepingInterval = 250 * time.Millisecond
)

// coordinatorConfig derives the coordinators' timing from the document. The
// loss timeout minus the isolation timeout and the time of a task stop is
// split evenly between LivenessWindow and the delay of reports.
func coordinatorConfig(epoch uint64, g document.Gang) gang.Config {
	window := livenessWindow(g)
	return gang.Config{
		Epoch:          epoch,
		ResendInterval: resendInterval,
		HoldTimeout:    g.HoldTimeout.Duration,
		LivenessWindow: window,
		FenceWait:      window + g.IsolationTimeout.Duration + maxTaskStop,

		StartTimeout: g.IsolationTimeout.Duration / 2,
	}
}

// attemptConfig returns the coordinator configuration for an attempt of the
// job.
func (p *Planner) attemptConfig(j *job) gang.Config {
	c := coordinatorConfig(p.cfg.Epoch, p.doc.Document.Gang)
	c.RetainSucceeded = j.stored.IsPermit()
	return c
}

func livenessWindow(g document.Gang) time.Duration {
	return (g.LossTimeout.Duration - g.IsolationTimeout.Duration - maxTaskStop) / 2
}

// toJSON returns text unchanged if it is valid JSON, otherwise as a JSON
// string.
func toJSON(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}
