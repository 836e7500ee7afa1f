package api

import "time"

// Status is the status of an entry.
type Status struct {
	ID string `json:"id"`
	// Incarnation is different for each start of the process.
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Ready       bool      `json:"ready"`
	Draining    bool      `json:"draining"`
	Since       time.Time `json:"since,omitzero"`
	// Leaderships are the services whose planner this entry is.
	Leaderships []Leadership `json:"duties"`
	Generations []Generation `json:"generations"`
	Members     []Member     `json:"members"`
}

// Leadership is the leadership of a service's planner, held under a lease in the store.
type Leadership struct {
	Service string `json:"service"`
	Region  string `json:"region,omitempty"`
	// Epoch is the fencing epoch of the lease.
	Epoch uint64    `json:"epoch"`
	Since time.Time `json:"since,omitzero"`
}

// Generation is the active generation of a service's document in a process.
type Generation struct {
	Service    string    `json:"service"`
	Generation uint64    `json:"generation"`
	Since      time.Time `json:"since,omitzero"`
}

// Member is a process as this entry sees it.
type Member struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone,omitempty"`
	// Service is the service of an agent's target.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
	// Generation is the generation of the service's document that the member reported.
	Generation uint64 `json:"generation"`
	// Since is when this entry first received a report of that generation.
	Since       time.Time `json:"since,omitzero"`
	LastContact time.Time `json:"heard,omitzero"`
	// Relay is the agent that relayed the member's last report; empty if it reports
	// directly.
	Relay string `json:"relay,omitempty"`
}
