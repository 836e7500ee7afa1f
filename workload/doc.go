// Package workload is the model of the jobs that callers hand in: a job is a set of
// steps with dependencies, a step is a number of equal tasks, and a gang is a step
// whose tasks only work together. A job of one gang step is the simplest case.
//
// The types are plain values. They are encoded into the store (JSON) and between
// processes (CBOR), so fields are only ever added.
package workload
