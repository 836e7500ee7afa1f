package gateway

import (
	"math"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// logDiscarded counts and logs discarded work.
func (t *term) logDiscarded(d engine.WorkDiscarded) {
	label := d.Queue + "/" + string(d.Cause)
	t.g.lostWork.Add(label, d.Lost)
	t.g.savedWork.Add(label, d.Saved)
	t.log.WithFields(logrus.Fields{
		"job":                d.Run.Task.Job,
		"task":               d.Run.Task.String(),
		"run":                d.Run.Number,
		"queue":              d.Queue,
		"account":            d.Account,
		"worker":             d.Worker,
		"cause":              d.Cause,
		"lost_core_seconds":  d.Lost,
		"saved_core_seconds": d.Saved,
	}).Info("work discarded")
}

// logWorkerGone counts and logs an ended worker incarnation.
func (t *term) logWorkerGone(w engine.WorkerGone) {
	t.g.workerDepartures.Add(w.Worker.Service+"/"+string(w.Departure), 1)
	t.g.workerSlowdowns.Remove(w.Worker.Service + "/" + string(w.Worker.ID))
	fields := logrus.Fields{
		"worker":  w.Worker.ID,
		"agent":   w.Worker.Agent,
		"service": w.Worker.Service,
		"how":     w.Departure,
		"runs":    w.Runs,
	}
	addReport(fields, w.Report)
	t.log.WithFields(fields).Info("worker gone")
}

// logWorkerSilent counts and logs a worker whose runs wait for the end of its lease.
func (t *term) logWorkerSilent(s engine.WorkerSilent) {
	t.g.silentWorkers.Add(s.Worker.Service+"/"+string(s.Basis), 1)
	fields := logrus.Fields{
		"worker":             s.Worker.ID,
		"agent":              s.Worker.Agent,
		"runs":               s.Runs,
		"lease":              s.Basis,
		"lease_remaining_ms": s.Remaining.Milliseconds(),
	}
	if s.LastReport > 0 {
		fields["last_report_ms"] = s.LastReport.Milliseconds()
	}
	t.log.WithFields(fields).Info("worker silent; its runs wait for the end of its lease")
}

// logLeaseExpired measures and logs how long runs waited for the end of a lease.
func (t *term) logLeaseExpired(l engine.LeaseExpired) {
	t.g.leaseWaits.Observe(l.Worker.Service+"/"+string(l.Basis), l.Waited)
	t.log.WithFields(logrus.Fields{
		"worker":    l.Worker.ID,
		"agent":     l.Worker.Agent,
		"runs":      l.Runs,
		"lease":     l.Basis,
		"waited_ms": l.Waited.Milliseconds(),
	}).Info("worker lease expired")
}

// logWorkerSpeed logs what has been learned of a worker's speed and exposes it.
func (t *term) logWorkerSpeed(s engine.WorkerSpeed) {
	t.g.workerSlowdowns.Set(s.Service+"/"+string(s.Worker), s.Factor)
	t.log.WithFields(logrus.Fields{
		"worker":  s.Worker,
		"service": s.Service,
		"factor":  math.Round(100*s.Factor) / 100,
		"error":   math.Round(100*s.Error) / 100,
		"runs":    s.Runs,
		"turned":  s.Turned,
	}).Info("worker speed learned")
}

// logOutdatedReport counts and logs a report that was ignored.
func (t *term) logOutdatedReport(o engine.OutdatedReport) {
	t.g.counters.ReportsOutdated.Add(1)
	fields := logrus.Fields{"agent": o.Agent, "worker": o.Worker}
	addReport(fields, o.Report)
	t.log.WithFields(fields).Warn("outdated report ignored")
}

// addReport adds to a log line the report that led to it.
func addReport(fields logrus.Fields, r engine.ReportRef) {
	if r.Origin.Process == 0 {
		return
	}
	fields["agent_process"] = strconv.FormatUint(r.Origin.Process, 16)
	fields["report"] = r.Origin.Sequence
	if r.Delay > 0 {
		fields["report_delay_ms"] = r.Delay.Milliseconds()
	}
}

// logLate counts and logs a job that completed after its objective.
func (t *term) logLate(l engine.JobLate) {
	t.g.lateJobs.Add(l.Queue+"/"+string(l.Reason), 1)
	t.log.WithFields(logrus.Fields{
		"job":     l.Job,
		"queue":   l.Queue,
		"account": l.Account,
		"reason":  l.Reason,
		"detail":  l.Detail,
	}).Info("objective missed")
}
