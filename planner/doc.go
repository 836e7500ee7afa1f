// Package planner runs the planner duty of one scheduling domain: it feeds the
// pure scheduler with workers and jobs, and carries out what the scheduler
// decides by the gang protocol and the job records.
//
// A Planner lives for one term of the duty, under one fencing epoch. It rebuilds
// itself from the job records and the agents' reports. Its word alone moves
// nothing: agents refuse a stale epoch or a taken accelerator, and the store
// refuses a start or an end that was decided on an older record.
//
// While the store is out a Planner goes on without its lease. It starts nothing,
// since a start has to be recorded, but it keeps the running gangs whole. It ends
// when it learns of a higher epoch, from an agent or from the store.
package planner
