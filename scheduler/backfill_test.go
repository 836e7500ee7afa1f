package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A checkpointable job must run on idle reserved capacity until the reservation
// is otherwise complete; a job that would lose its work must not.
func TestCheckpointableJobBackfillsReservation(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}, {ID: "b"}}}, eightAcceleratorWorkers(2)...)
	b.submit(Job{ID: "busy", Account: "a", Accelerators: 8, Adjacency: AdjacentWorker, Estimate: time.Hour})
	b.submit(Job{ID: "gang", Account: "b", Accelerators: 16, Submitted: b.now})
	b.now = b.now.Add(2 * time.Second)
	b.step(Tick{})
	saves := Job{ID: "saves", Account: "a", Accelerators: 4, Checkpointable: true, Class: "x"}
	loses := Job{ID: "loses", Account: "a", Accelerators: 4, Repeatable: true, Class: "y"}
	starts := actionsOf[StartGang](b.submit(loses, saves))
	b.Assert(starts, qt.HasLen, 1)
	b.Assert(starts[0].Job, qt.Equals, JobID("saves"))
	b.step(GangStarted{"saves", 1})
	stops := actionsOf[StopGang](b.endAttempt("busy", Done, ""))
	b.Assert(stops, qt.DeepEquals, []StopGang{{Job: "saves", Attempt: 1, Checkpoint: true, Reason: StopReclaim}})
	b.Assert(actionsOf[StartGang](b.endAttempt("saves", Stopped, ""))[0].Job, qt.Equals, JobID("gang"))
}

// A reservation must evict a checkpointable job that is more than half as large
// as the gang, however often it was evicted before.
func TestGangPreemptsCheckpointableJob(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}, {ID: "b"}}}, eightAcceleratorWorkers(3)...)
	b.submit(Job{ID: "saves", Account: "a", Accelerators: 16, Checkpointable: true, Estimate: time.Hour})
	b.step(GangStarted{"saves", 1})
	b.s.jobs["saves"].evictions = b.s.maxPreemptions()
	b.submit(Job{ID: "gang", Account: "b", Accelerators: 24, Submitted: b.now})
	b.now = b.now.Add(2 * time.Second)
	b.Assert(actionsOf[StopGang](b.step(Tick{})), qt.DeepEquals, []StopGang{{Job: "saves", Attempt: 1, Checkpoint: true, Reason: StopReclaim}})
}

// Backfilling a reservation that waits only for a block to move would stop and
// start the job over and over.
func TestBlockedReservationIsNotBackfilledAgain(t *testing.T) {
	b := newHarness(t, ownerAndGuest, eightAcceleratorWorkers(3)...)
	protected := Job{ID: "protected", Account: "guest", Accelerators: 8, Adjacency: AdjacentWorker, Class: "f", Estimate: 2 * time.Hour}
	soon := Job{ID: "soon", Account: "guest", Accelerators: 8, Adjacency: AdjacentWorker, Class: "s", Estimate: time.Hour}
	b.submit(protected)
	b.submit(soon)
	b.step(GangStarted{"soon", 1})
	b.submit(Job{ID: "gang", Account: "guest", Accelerators: 16, Submitted: b.now})
	b.now = b.now.Add(2 * time.Second)
	b.step(Tick{})
	saves := Job{ID: "saves", Account: "guest", Accelerators: 8, Checkpointable: true, Class: "x"}
	b.Assert(actionsOf[StartGang](b.submit(saves)), qt.HasLen, 1)
	b.Assert(actionsOf[StopGang](b.endAttempt("soon", Done, "")), qt.HasLen, 1)
	b.Assert(actionsOf[StartGang](b.endAttempt("saves", Stopped, "")), qt.HasLen, 0)
}
