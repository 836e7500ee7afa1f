package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// JobProgress is the stored state of a job.
type JobProgress struct {
	// Epoch and Version make every write of a record unique.
	Epoch              uint64         `json:"epoch"`
	Version            int            `json:"v"`
	State              workload.State `json:"state"`
	Reason             string         `json:"reason,omitempty"`
	Started            bool           `json:"begun,omitempty"`
	CreatedOccurrences int            `json:"created,omitempty"`
	Units              []UnitProgress `json:"units,omitempty"` // units that differ from their initial state
	// EndedAt is wall-clock time. Records are removed some time after it.
	EndedAt time.Time `json:"ended,omitzero"`
}

// UnitProgress is the stored state of a unit.
type UnitProgress struct {
	Occurrence int               `json:"k,omitempty"`
	Step       int               `json:"s,omitempty"`
	Index      int               `json:"i,omitempty"`
	RunNumber  int               `json:"r,omitempty"`
	Failures   int               `json:"f,omitempty"`
	Done       bool              `json:"d,omitempty"`
	Checkpoint string            `json:"c,omitempty"`
	Placements []MemberPlacement `json:"p,omitempty"`
	// Crashes counts the worker crashes under each task of the unit.
	Crashes []TaskCrashes `json:"x,omitempty"`
}

// TaskCrashes counts the worker crashes under one task.
type TaskCrashes struct {
	Index     int `json:"i,omitempty"`
	Total     int `json:"t"`
	Startup   int `json:"e,omitempty"`
	Confirmed int `json:"c,omitempty"`
}

// MemberPlacement names the worker that may hold the run of a unit's member.
type MemberPlacement struct {
	Index  int      `json:"i,omitempty"`
	Worker WorkerID `json:"w"`
	// StartSettled means that no call to start the run can be carried out any more. It is set only
	// for workers that keep their names.
	StartSettled bool `json:"s,omitempty"`
}

func (u *unit) progress() UnitProgress {
	p := UnitProgress{
		Occurrence: u.occurrence,
		Step:       u.step,
		Index:      u.index,
		RunNumber:  u.runNumber,
		Failures:   u.failures,
		Done:       u.state == unitDone,
		Checkpoint: u.checkpoint,
	}
	if p.Done {
		p.Checkpoint = ""
	}
	for _, place := range u.placements {
		p.Placements = append(p.Placements, MemberPlacement{
			Index: place.index, Worker: place.worker.info.ID,
			StartSettled: place.worker.info.Name != "" && place.state != placementUnrecorded && place.startSettled(),
		})
	}
	for _, index := range slices.Sorted(maps.Keys(u.crashes)) {
		c := u.crashes[index]
		p.Crashes = append(p.Crashes, TaskCrashes{Index: index, Total: c.total, Startup: c.startup, Confirmed: c.confirmed})
	}
	return p
}

// isInitial reports whether the unit has no state worth storing.
func (u *unit) isInitial() bool {
	return u.runNumber == 0 && u.state != unitDone
}

func (j *job) progress(epoch uint64, now time.Duration, wall time.Time) *JobProgress {
	p := &JobProgress{Epoch: epoch, Version: j.version, State: j.state, Reason: j.reason, Started: j.started, CreatedOccurrences: j.createdOccurrences}
	if j.state.Final() {
		p.EndedAt = wall.Add(j.endedAt - now)
	}
	for _, u := range j.units {
		if u.isInitial() {
			continue
		}
		if j.state.Final() && len(u.placements) == 0 {
			continue
		}
		p.Units = append(p.Units, u.progress())
	}
	return p
}
