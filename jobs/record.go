package jobs

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Spec is what the caller requested. It never changes after acceptance.
type Spec struct {
	Account        string          `json:"account"`
	Class          string          `json:"class"`
	Accelerators   int             `json:"accelerators"`
	Adjacency      string          `json:"adjacency"`
	Cores          int             `json:"cores,omitempty"`
	MemoryMB       int             `json:"memory_mb,omitempty"`
	Estimate       time.Duration   `json:"estimate_ns,omitempty"`
	Repeatable     bool            `json:"repeatable"`
	Checkpointable bool            `json:"checkpointable,omitempty"`
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// Member is one worker's part of an attempt. Incarnation tells a successor
// planner whether the agent still remembers the attempt.
type Member struct {
	Agent        string `json:"agent"`
	Incarnation  uint64 `json:"incarnation"`
	Accelerators []int  `json:"accelerators"`
}

// Record is the stored form of one job.
type Record struct {
	// Token is unique to each write of the record; see store.Swap.
	Token   string `json:"token"`
	ID      string `json:"id"`
	Service string `json:"service"`
	Spec    Spec   `json:"spec"`
	State   State  `json:"state"`
	// Attempt counts the starts of the job, from 1. Epoch and Number identify
	// the attempt to the agents: the fencing epoch of the planner that started
	// it, and that planner's counter.
	Attempt uint64   `json:"attempt,omitempty"`
	Epoch   uint64   `json:"epoch,omitempty"`
	Number  uint64   `json:"number,omitempty"`
	Members []Member `json:"members,omitempty"`
	// Failures counts the earlier attempts in which the job itself failed.
	Failures int `json:"failures,omitempty"`
	// Restore is the checkpoint that the next attempt resumes from.
	Restore json.RawMessage `json:"restore,omitempty"`
	// CancelRequested asks the planner to stop a job that is past Queued.
	CancelRequested bool            `json:"cancel_requested,omitempty"`
	Reason          string          `json:"reason,omitempty"`
	Result          json.RawMessage `json:"result,omitempty"`
	Submitted       time.Time       `json:"submitted"`
	Started         time.Time       `json:"started,omitzero"`
	Ended           time.Time       `json:"ended,omitzero"`
}

// Stored is a record with the revision at which it was read or written.
type Stored struct {
	Record
	Rev store.Revision
}

func decode(kv store.KeyValue) (Stored, error) {
	var r Record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return Stored{}, eris.Wrapf(err, "decode job record %s", kv.Key)
	}
	return Stored{Record: r, Rev: kv.Mod}, nil
}
