// Package jobs keeps gang jobs in the platform's store: one record a job, one
// key a record, every change of state a compare-and-swap on that key.
//
// Because each change names the revision it was decided on, two processes that
// both believe to own a job cannot both move it: a start, a cancellation and an
// end exclude one another in whatever order their writes reach the store. The
// record is written three times in the life of a job (accepted, starting or
// permitted to start, ended), and once more where a job ran long on a permit; what
// happens in between is known to the agents that run it.
package jobs
