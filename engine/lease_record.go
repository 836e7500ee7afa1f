package engine

import (
	"cmp"
	"slices"
	"time"
)

// LeaseRecord bounds the lease of a worker that its planner has not granted for some time. It is kept in the
// worker's record, so that the planner's successors do not count the lease anew from their takeovers.
//
// While a record has one, nobody grants the worker a lease: the planner removes it first, and a planner that
// has been deposed cannot, since its writes are refused. The record holds a remaining time and no time of
// day, as clocks of instances differ; it is read after it was written, so the lease can only end earlier.
type LeaseRecord struct {
	// Epoch is that of the planner that wrote it. A record is not valid if a planner of an earlier version, which
	// does not heed it, has followed; it is not restored then.
	Epoch uint64 `json:"epoch"`
	// Remaining is the time until the lease has certainly ended, in nanoseconds; negative afterwards.
	Remaining time.Duration `json:"remaining"`
}

const (
	// leaseRecordInterval is the time after which the bound of a silent worker's lease is recorded again. A
	// takeover prolongs the wait for the lease by the age of the record.
	leaseRecordInterval = time.Second
	// leaseRecordPause is the minimum time between two writes for that. First records of a planner do not
	// wait for it.
	leaseRecordPause = 250 * time.Millisecond
	// minLeaseRecords is how many such records go first in a write. Changed jobs may fill the rest for long.
	minLeaseRecords = 4
)

// inheritLease applies the bound of the lease in a restored record.
func (e *Engine) inheritLease(now time.Duration, w *worker) {
	record := w.info.Lease
	w.info.Lease = nil
	if record == nil {
		return
	}
	w.leaseRecord, w.leaseRecordedAt = record, now
	// The record was stored before the takeover, since a deposed planner stores nothing.
	if end := e.startedAt + record.Remaining; end < w.leaseExpiresAt {
		w.leaseExpiresAt, w.leaseBasis = end, LeaseRecorded
	}
}

// grantsSuspended reports whether w may be granted no lease, because a record of its lease is stored or being
// written.
func (w *worker) grantsSuspended() bool { return w.leaseRecord != nil }

// resumeGrants has the record of the lease removed, so that w can be granted it again.
func (e *Engine) resumeGrants(w *worker) {
	if w.grantsSuspended() && !w.resumingGrants {
		w.resumingGrants = true
		e.unrecordedWorkers[w.info.ID] = w
	}
}

// leaseRecordDue reports whether the bound of the lease of w has to be recorded. Without runs nothing waits
// for the end of the lease.
func (e *Engine) leaseRecordDue(now time.Duration, w *worker) bool {
	if !w.recorded || len(w.placements) == 0 || w.resumingGrants || !e.silent(now, w) && !w.grantsSuspended() {
		return false
	}
	return !e.leaseRecorded(w) || now-w.leaseRecordedAt >= leaseRecordInterval
}

// leaseRecorded reports whether this planner has recorded the lease of w, or is doing so.
func (e *Engine) leaseRecorded(w *worker) bool {
	return w.grantsSuspended() && w.leaseRecord.Epoch == e.epoch
}

// noteLeaseRecord marks the record of w to be written if the bound of its lease has to be recorded.
func (e *Engine) noteLeaseRecord(now time.Duration, w *worker) {
	if e.leaseRecordDue(now, w) {
		e.dueLeaseRecords[w.info.ID] = w
	}
}

// addLeaseRecords adds the records of silent workers to a write, those first that were recorded longest ago.
// During an outage of the store none are begun: workers that return could be granted nothing until its end,
// and their runs would be lost.
func (e *Engine) addLeaseRecords(now time.Duration, write *Write, limit int) int {
	if len(e.dueLeaseRecords) == 0 || limit <= 0 || e.storeUnavailable {
		return limit
	}
	pausing := now-e.leasesRecordedAt < leaseRecordPause
	var due []*worker
	for id, w := range e.dueLeaseRecords {
		if e.workers[id] != w || !e.leaseRecordDue(now, w) {
			delete(e.dueLeaseRecords, id)
		} else if !pausing || !e.leaseRecorded(w) {
			due = append(due, w)
		}
	}
	if !pausing {
		e.leasesRecordedAt = now
	}
	slices.SortFunc(due, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.leaseRecordedAt, b.leaseRecordedAt), cmp.Compare(a.info.ID, b.info.ID))
	})
	due = due[:min(len(due), limit)]
	for _, w := range due {
		w.leaseRecord, w.leaseRecordedAt = &LeaseRecord{Epoch: e.epoch, Remaining: w.leaseExpiresAt - now}, now
		delete(e.dueLeaseRecords, w.info.ID)
		delete(e.changedSpeeds, w.info.ID) // the record has the speed
		write.Workers = append(write.Workers, w.record())
	}
	return limit - len(due)
}

// noteRecordWritten notes that the record of w has been stored.
func (e *Engine) noteRecordWritten(now time.Duration, w *worker, written WorkerInfo) {
	if written.Lease != nil && !w.grantsSuspended() {
		return // of an earlier entry of the worker; its record is written again
	}
	w.recorded = true
	if written.Lease == nil && w.resumingGrants {
		w.leaseRecord, w.resumingGrants = nil, false
		w.grantsResumedAt = now
	}
	if !w.resumingGrants {
		delete(e.unrecordedWorkers, w.info.ID)
	}
	e.planNeeded = true
}
