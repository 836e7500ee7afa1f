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

// AgentClient carries one message of the gang protocol to an agent and its reply
// back. A lost message or reply is an error; the planner sends again.
type AgentClient interface {
	SendGangMessage(ctx context.Context, agent string, m gang.Message) (gang.Reply, error)
}

// RetentionLease is the store lease under which ended records are kept. Drop says
// that the store no longer has it.
type RetentionLease interface {
	Current(ctx context.Context) (store.LeaseID, error)
	Invalidate(id store.LeaseID)
}

// Config is the fixed part of a Planner.
type Config struct {
	Service string
	// Epoch is the fencing epoch of this term.
	Epoch   uint64
	Store   store.Store // for listing and watching the job records
	Jobs    *jobs.Store
	Agents  AgentClient
	Metrics *metrics.Set
	Log     *logrus.Entry
	// Document is what is in force when the term begins.
	Document  *document.Held
	Retention RetentionLease
}

const (
	// resendInterval is how long the reply to a message of the gang protocol is awaited.
	resendInterval = 400 * time.Millisecond
	// requestTimeout bounds one such exchange.
	requestTimeout = 2 * time.Second
	// maxTaskStop is the longest that a target takes to stop a task.
	maxTaskStop = 3 * time.Second
	// topologySettleTime is how long after the begin of a term jobs are not rejected for
	// being larger than the topology: agents may still be announcing themselves.
	topologySettleTime = 5 * time.Second
	// storeRetryInterval is the pause before a failed write or listing is tried again.
	storeRetryInterval = 500 * time.Millisecond
	// maxRecentlyEnded is how many ended jobs are remembered for status requests.
	maxRecentlyEnded = 4096
	// workQueueSize bounds what waits for the planner's goroutine.
	workQueueSize = 8192
	// housekeepingInterval is the period in which lost agents are looked for.
	housekeepingInterval = 250 * time.Millisecond
)

// coordinatorConfig derives the coordinator's timing from the document. What lies between
// isolation and loss, less the stop of a task, is shared by Window and the delay
// of reports.
func coordinatorConfig(epoch uint64, g document.Gang) gang.Config {
	window := livenessWindow(g)
	return gang.Config{
		Epoch:          epoch,
		ResendInterval: resendInterval,
		HoldTimeout:    g.HoldTimeout.Duration,
		LivenessWindow: window,
		SettleTime:     window + g.IsolationTimeout.Duration + maxTaskStop,

		StartTimeout: g.IsolationTimeout.Duration / 2,
	}
}

// attemptConfig is that of an attempt of the job.
func (p *Planner) attemptConfig(j *job) gang.Config {
	c := coordinatorConfig(p.cfg.Epoch, p.doc.Document.Gang)
	c.RetainSucceeded = j.stored.IsPermit()
	return c
}

func livenessWindow(g document.Gang) time.Duration {
	return (g.LossTimeout.Duration - g.IsolationTimeout.Duration - maxTaskStop) / 2
}

// toJSON returns text as JSON: as it is where it is valid, as a string where not.
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
