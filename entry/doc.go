// Package entry is the process that callers reach through the platform's
// balancer. Every entry can do every entry's work: it keeps soft state only, and
// whatever has to outlast it is in the platform's store or at the agents.
//
// A quick request is routed to an agent by what the entry has measured of the
// targets. A job is made durable in the store and answered; the entry that holds
// the planner duty of the scheduling domain starts it.
//
// Where to look:
//
//	http*, problem, quick, delivery*, once*, repick   a caller's request, to its end
//	jobs, claims, sharedlease                         what is made durable for callers
//	agents*, members*, relays, news, gangcaller       agents: calls, reports, documents
//	session, registry*, registration                  this entry among the entries
//	duties, spread, handover, prober, refusal         who plans which service
//	documents, catchup, policy                        what is in force
//	status, inspect*, storeprobe, stats, meters       what operators see
package entry
