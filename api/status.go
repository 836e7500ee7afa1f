package api

import "time"

// Status is what an entry says about itself.
type Status struct {
	ID string `json:"id"`
	// Incarnation differs for each start of the process.
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Ready       bool      `json:"ready"`
	Draining    bool      `json:"draining"`
	Since       time.Time `json:"since,omitzero"`
	// Leaderships are the planner duties this entry holds.
	Leaderships []Leadership `json:"duties"`
	Generations []Generation `json:"generations"`
	Members     []Member     `json:"members"`
}

// Leadership is a planner duty, held under a lease of the store.
type Leadership struct {
	Service string `json:"service"`
	Region  string `json:"region,omitempty"`
	// Epoch is the fencing epoch of the lease.
	Epoch uint64    `json:"epoch"`
	Since time.Time `json:"since,omitzero"`
}

// Generation is the generation of a service document in force at a process.
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
	// Service is that of an agent's target.
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
	// Generation is of the service's document, as the member reported it.
	Generation uint64 `json:"generation"`
	// Since is when the answering entry first heard of that generation there.
	Since       time.Time `json:"since,omitzero"`
	LastContact time.Time `json:"heard,omitzero"`
	// Relay is the agent by which the member's last report came; empty: itself.
	Relay string `json:"relay,omitempty"`
}
