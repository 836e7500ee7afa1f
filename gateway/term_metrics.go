package gateway

import (
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
	t.log.WithFields(logrus.Fields{
		"worker":  w.Worker.ID,
		"agent":   w.Worker.Agent,
		"service": w.Worker.Service,
		"how":     w.Departure,
		"runs":    w.Runs,
	}).Info("worker gone")
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
