package planner

import (
	"encoding/json"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// keepCheckpoint notes from where the next attempt resumes: the least progress
// of all members, since the gang computes together. An attempt without a whole
// set of checkpoints leaves the earlier one valid.
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
