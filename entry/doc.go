// Package entry implements the server process that callers reach through the platform's
// load balancer. All entries are equal: each can serve every request. An entry holds only
// soft state; durable state is in the platform's store or at the agents.
//
// A quick request is routed to an agent by the load and latency that this entry has
// measured. A job is first written to the store and then acknowledged; the entry that
// holds the planner leadership of the job's service starts it.
//
// Files:
//
//	http*, problem, dispatcher, pick     HTTP interface; routing and retries of quick requests
//	delivery*, nonrepeatable             requests that must not run twice
//	jobs, claims, sharedlease            records written to the store for callers
//	agents*, gang_client                 connections and calls to agents
//	members*, relays, report_ack         agents' reports and the documents sent to them
//	session, registry*, registration     registration of this entry and discovery of others
//	elections, balance, handover         planner leaderships and their distribution
//	prober, udp_probe                    detection of entries whose process has ended
//	documents, catchup, policy           the active documents
//	status, inspect*, storeprobe,
//	stats, metrics                       what operators see
package entry
