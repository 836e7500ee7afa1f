// Package scheduler decides where and when the jobs of one scheduling domain
// run. It keeps the guaranteed shapes of every client account reclaimable,
// starts gangs all at once, and orders the queues of waiting jobs.
//
// The package does no I/O: [Scheduler.Step] takes the time and one event and
// returns actions. It reads no clock, starts no goroutine and writes no log. A
// Scheduler is owned by a single goroutine.
//
// # Terms
//
// A unit is the set of workers within which an [Adjacency] keeps a gang: one
// worker, one rack, one availability zone, or the whole domain. The code calls
// the adjacency a span.
//
// A block is one guaranteed shape of an account. It is bound to workers that
// can hold it and is unused while no job of the account runs in it.
//
// Open capacity is idle and neither claimed nor reserved, whether or not unused
// blocks are bound to it. A borrower is an evictable attempt that runs outside
// the blocks of its account. A claim sets capacity aside for one job: either
// unused capacity of its account's blocks, for which borrowers are evicted, or a
// reservation, which waits for other work to end.
//
// # Guarantees
//
// A guaranteed shape is a block within its span, not a sum of accelerators. On
// every usable worker, the accelerators held by work that may not be evicted
// plus those bound to unused blocks never exceed the capacity of the worker.
// The bindings therefore prove that the unused shapes of all accounts fit at
// once. An unused block can be bound elsewhere at any time, so a claim first
// looks for a free place and evicts only when there is none. Binding follows
// the virtual cells of HiveD (Zhao et al., OSDI 2020), with cells sized by
// shape instead of split in halves.
package scheduler
