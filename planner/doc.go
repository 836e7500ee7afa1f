// Package planner implements the leader of one scheduling domain. It feeds
// workers and jobs to the scheduler, and carries out the scheduler's decisions
// with the gang protocol and the job records.
//
// A Planner lives for one term of leadership, under one fencing epoch, and
// rebuilds its state from the job records and the agents' reports. Its
// decisions are always validated: agents refuse a stale epoch or an
// accelerator in use, and the store refuses a start or an end that is based on
// an older record.
//
// While the store is unavailable a Planner continues without its lease. It
// renews the running gangs and starts only jobs that have a permit, since any
// other start has to be recorded. It ends when it learns of a higher epoch
// from an agent or from the store.
package planner
