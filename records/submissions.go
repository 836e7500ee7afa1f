package records

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Submissions are the submitted jobs that have not been archived.
type Submissions struct {
	// Jobs are ordered by ID and have no progress.
	Jobs []engine.JobRestored
	// Revision is the store revision after which a watch of the submissions continues.
	Revision store.Revision
	// Unreadable are the records that cannot be decoded, such as those of another writer.
	Unreadable []UnreadableRecord
}

// UnreadableRecord is a record that cannot be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

// ListSubmissions reads the submitted jobs and their cancellations. wall is the wall-clock
// time, from which the age of jobs is computed.
func ListSubmissions(ctx context.Context, kv store.Store, wall time.Time) (Submissions, error) {
	snap, err := kv.List(ctx, submissionPrefix)
	if err != nil {
		return Submissions{}, err
	}
	cancelRevisions := map[workload.JobID]int64{}
	for _, kv := range snap.Keys {
		if strings.HasPrefix(kv.Key, cancelPrefix) {
			cancelRevisions[jobIDOf(kv.Key, cancelPrefix)] = int64(kv.Mod)
		}
	}
	out := Submissions{Revision: snap.At}
	for _, kv := range snap.Keys {
		if !strings.HasPrefix(kv.Key, jobPrefix) {
			continue
		}
		job, err := decodeJob(kv, wall)
		if err != nil {
			out.addUnreadable(kv.Key, err)
			continue
		}
		cancelRevision, wasCancelled := cancelRevisions[job.Job.ID]
		out.Jobs = append(out.Jobs, engine.JobRestored{JobSubmitted: job, Cancelled: wasCancelled, CancelRevision: cancelRevision})
	}
	return out, nil
}

func (s *Submissions) addUnreadable(key string, err error) {
	s.Unreadable = append(s.Unreadable, UnreadableRecord{Key: key, Err: err})
}

func decodeJob(kv store.KeyValue, wall time.Time) (engine.JobSubmitted, error) {
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil {
		return engine.JobSubmitted{}, eris.Wrapf(err, "decode record %s", kv.Key)
	}
	if j.ID != jobIDOf(kv.Key, jobPrefix) || len(j.Steps) == 0 {
		return engine.JobSubmitted{}, eris.Errorf("record %s: job ID does not match the key, or the job has no steps", kv.Key)
	}
	return engine.JobSubmitted{Job: j, Revision: int64(kv.Created), Age: ageOf(j.Submitted, wall)}, nil
}

// maxAge bounds the computed age of a job, since the wall clock may jump.
const maxAge = 2 * time.Minute

// ageOf returns how long ago since was by the wall clock, limited to [0, maxAge].
func ageOf(since, wall time.Time) time.Duration {
	return min(max(wall.Sub(since), 0), maxAge)
}
