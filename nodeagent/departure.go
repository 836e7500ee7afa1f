package nodeagent

import (
	"errors"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// departure describes an ended incarnation.
type departure struct {
	info       engine.WorkerInfo
	crashed    bool // ended without notice
	superseded bool // another incarnation answers under its name
	// polled is set if a poll was answered. pastStartup are the runs that were seen running for
	// engine.StartupCrashWindow, and ended the runs that had ended, unless endsOmitted is set: then
	// further ones may have.
	polled      bool
	pastStartup []engine.RunStatus
	ended       []engine.RunEnd
	endsOmitted bool
	// connectionLostAt is when the connection to the worker was lost for good; 0 if not known.
	connectionLostAt time.Duration
}

// report returns the report of the departure.
func (d *departure) report(now time.Duration) engine.Report {
	r := engine.Report{
		Worker: d.info, Terminated: true, Crashed: d.crashed, Superseded: d.superseded,
		Polled: d.polled, Running: d.pastStartup, Ended: d.ended, EndsOmitted: d.endsOmitted,
	}
	if d.connectionLostAt != 0 {
		r.DownFor = now - d.connectionLostAt
	}
	return r
}

// leave records a departure notice. The worker sends it before it ends, so its runs may go on for
// some time. From now on nothing starts there and nothing extends its lease, which bounds that time.
func (inc *incarnation) leave(now, maxLease time.Duration) {
	if inc.leaving {
		return
	}
	inc.leaving, inc.draining, inc.departsAt = true, true, now
	if inc.leaseEnd == 0 {
		inc.extendLease(now + maxLease) // as a previous agent process may have
	}
}

// hasLeft reports whether a leaving worker has certainly ended when a poll fails with err: its lease
// has expired, or all its connections are gone and it accepts no new one. A refusal alone is no
// proof, since a process may close its port first and end later.
func (inc *incarnation) hasLeft(err error, now time.Duration) bool {
	if !inc.leaving {
		return false
	}
	closed := inc.connectionBroken && inc.pollsInProgress == 0 && errors.Is(err, ErrConnectionRefused)
	return closed || now > inc.latestLeaseEnd()+leaseExpiryMargin
}

// endIncarnation records the end of the current incarnation. The mutex is held.
func (a *Agent) endIncarnation(dep departure) {
	if a.incarnation == nil {
		return
	}
	id := a.incarnation.info.ID
	a.log.WithField("worker", id).WithField("crashed", dep.crashed).WithField("superseded", dep.superseded).Info("worker gone")
	a.endedIDs[id] = true
	dep.info = a.incarnation.info
	dep.polled, dep.pastStartup = a.incarnation.polled, a.incarnation.pastStartup()
	dep.ended, dep.endsOmitted = a.incarnation.ended, a.incarnation.endsOmitted
	dep.connectionLostAt = a.incarnation.connectionLostAt
	a.departures = append(a.departures, dep)
	a.nextFence = a.incarnation.fence
	a.nextFence.Generation += engine.GenerationStep // also exceeds what a previous agent process counted
	a.incarnation = nil
}

// endUnannounced ends the current incarnation after another one was found in its place. It has
// crashed unless it was draining: a draining worker exits even if its departure notice is not
// answered. superseded is set if the other incarnation has the same name. The mutex is held.
func (a *Agent) endUnannounced(superseded bool) {
	a.endIncarnation(departure{crashed: a.incarnation != nil && !a.incarnation.draining, superseded: superseded})
}

// addLateEnds adds ends to an unreported departure that are listed by a poll answered only after
// the incarnation was found to have ended. Without them the crash would count against their runs.
// The mutex is held.
func (a *Agent) addLateEnds(inc *incarnation, status WorkerStatus) {
	for i := range a.departures {
		if d := &a.departures[i]; d.info.ID == inc.info.ID && len(status.Ended) > 0 {
			d.polled = true
			d.ended = append(slices.Clone(d.ended), status.Ended...)
			d.endsOmitted = d.endsOmitted || status.EndsOmitted
		}
	}
}
