// Package workload defines the jobs that callers submit. A job is a set of steps with
// dependencies, a step is a number of identical tasks, and a gang is a step whose tasks can
// only run together.
//
// The types are plain values. They are encoded as JSON in the store and as CBOR between
// processes, so fields may only be added.
package workload
