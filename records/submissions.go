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

// Submissions are the jobs that callers have handed in and that have not been closed.
type Submissions struct {
	// Jobs are in the order of their names, without Progress.
	Jobs []engine.JobRestored
	// Revision is where a watch of the intake goes on.
	Revision store.Revision
	// Unreadable are records that another writer left and that are passed over.
	Unreadable []UnreadableRecord
}

// UnreadableRecord is a record that can't be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

// ListSubmissions reads what callers have handed in. wall is the time of day, by which the
// age of jobs is told.
func ListSubmissions(ctx context.Context, kv store.Store, wall time.Time) (Submissions, error) {
	snap, err := kv.List(ctx, inPrefix)
	if err != nil {
		return Submissions{}, err
	}
	cancelRevisions := map[workload.JobID]int64{}
	for _, kv := range snap.Keys {
		if strings.HasPrefix(kv.Key, cancelPrefix) {
			cancelRevisions[idOf(kv.Key, cancelPrefix)] = int64(kv.Mod)
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
		return engine.JobSubmitted{}, eris.Wrapf(err, "record %s", kv.Key)
	}
	if j.ID != idOf(kv.Key, jobPrefix) || len(j.Steps) == 0 {
		return engine.JobSubmitted{}, eris.Errorf("record %s: not a job of that id with steps", kv.Key)
	}
	return engine.JobSubmitted{Job: j, Revision: int64(kv.Created), Age: ageOf(j.Submitted, wall)}, nil
}

// maxAge bounds the age told of a job: the time of day may jump.
const maxAge = 2 * time.Minute

// ageOf returns how long ago it was then, by the time of day.
func ageOf(since, wall time.Time) time.Duration {
	return min(max(wall.Sub(since), 0), maxAge)
}
