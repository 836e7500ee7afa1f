package planner

import (
	"encoding/json"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// keepCheckpoint stores the checkpoint from which the next attempt resumes:
// the one with the least progress of all members, since a gang computes
// together. If a member has no checkpoint the earlier one stays valid.
func (j *job) keepCheckpoint(e gang.Ended) {
	if e.Outcome == gang.Done || !e.Checkpointed() {
		return
	}
	var least *target.Checkpoint
	for _, m := range e.Members {
		var c target.Checkpoint
		if json.Unmarshal([]byte(m.Detail), &c) != nil || c.ID == "" {
			return
		}
		if least == nil || c.ProgressMS < least.ProgressMS {
			least = &c
		}
	}
	if least == nil {
		return
	}
	if data, err := json.Marshal(least); err == nil {
		j.stored.Restore = data
	}
}

func restoreCheckpoint(r jobs.Record) *target.Checkpoint {
	var c target.Checkpoint
	if len(r.Restore) == 0 || json.Unmarshal(r.Restore, &c) != nil {
		return nil
	}
	return &c
}
