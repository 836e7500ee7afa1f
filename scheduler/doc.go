// Package scheduler decides where and when the jobs of one scheduling domain
// run. It keeps the guaranteed shapes of every client account reclaimable,
// starts gangs whole, and orders the queue of jobs that wait.
//
// The package is pure: [Scheduler.Step] takes the time and one event and
// returns actions. It reads no clock, starts no goroutine and writes no log. A
// Scheduler is owned by a single goroutine.
//
// # Guarantees
//
// A guaranteed shape is a block, not a sum. Each block is bound to workers
// that could hold it: on every usable worker the accelerators held by work that
// may not be evicted plus those bound to unused blocks never exceed what the
// worker has. The bindings are the witness that the unused shapes of all
// accounts fit at once. They move freely as long as a block is unused, so a
// claim first looks for a place that is free and evicts only when there is
// none. The idea of virtual cells that are remapped to physical ones comes from
// HiveD (Zhao et al., OSDI 2020); cells here are sized by shape instead of
// being split in halves.
package scheduler
