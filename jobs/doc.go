// Package jobs stores the records of gang jobs: one key for each job, and
// every change a compare-and-swap on that key.
//
// Because each change names the revision it is based on, two processes that
// both believe to own a job can't both change it: a start, a cancellation and
// an end exclude one another. A record is written when the job is accepted,
// when it starts or gets a permit to start, and when it ends, and once more if
// a job runs long on a permit. Only the agents know what happens in between.
package jobs
