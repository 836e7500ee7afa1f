package api

import "time"

// Report is what operators and client accounts ask about a service, as its
// planner sees it. All counts are of accelerators unless said.
type Report struct {
	Service string `json:"service"`
	// Planner is the entry that plans, and since when.
	Planner ReportPlanner `json:"planner"`
	// CreatedAt is when the planner put the report together, Age how old that was when it
	// answered, by its own clock. Decided is the time of the last decision.
	CreatedAt time.Time `json:"at"`
	Age       Duration  `json:"age"`
	DecidedAt time.Time `json:"decided"`
	// Settling: after a change of planner, records or workers are still coming in.
	Settling bool `json:"settling,omitempty"`
	// StoreUnavailable: the platform's store did not answer the planner or its entry. Only
	// jobs that have a permit start meanwhile.
	StoreUnavailable bool            `json:"store_out,omitempty"`
	Capacity         ReportCapacity  `json:"capacity"`
	Workers          ReportWorkers   `json:"workers"`
	Accounts         []ReportAccount `json:"accounts"`
}

// ReportPlanner names who plans a service.
type ReportPlanner struct {
	Entry      string    `json:"entry"`
	Region     string    `json:"region"`
	Epoch      uint64    `json:"epoch"`
	Since      time.Time `json:"since,omitzero"`
	Generation uint64    `json:"generation"`
}

// ReportCapacity is the accelerators of the workers that may be given work.
type ReportCapacity struct {
	Accelerators int `json:"accelerators"`
	// Free are held by no attempt; Reserved of them are set aside.
	Free     int `json:"free"`
	Reserved int `json:"reserved"`
	// Fragmentation is the free accelerators in pieces too small for the jobs that
	// wait, averaged over those jobs by their size.
	Fragmentation float64 `json:"fragmentation"`
	// FreeUnits says, for each adjacency, how many units have how many
	// accelerators that any job could take now, the fullest first.
	FreeUnits map[Adjacency][]FreeUnits `json:"free_units"`
	// Evicting counts the evictions in progress.
	Evicting int `json:"evicting"`
}

// FreeUnits says that Units units have Free free accelerators each.
type FreeUnits struct {
	Free  int `json:"free"`
	Units int `json:"units"`
}

// ReportWorkers is the workers by state. Each list holds the first of them.
type ReportWorkers struct {
	Usable      int        `json:"usable"`
	Quarantined WorkerList `json:"quarantined"`
	Draining    WorkerList `json:"draining"`
	Lost        WorkerList `json:"lost"`
}

// WorkerList is how many workers are in a state, and the first of them.
type WorkerList struct {
	Count   int            `json:"count"`
	Workers []WorkerStatus `json:"workers,omitempty"`
}

// WorkerStatus is a worker that gets no new work, since when it is lost or until
// when it is quarantined.
type WorkerStatus struct {
	ID      string    `json:"id"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	Probing bool      `json:"probing,omitempty"`
}

// ReportAccount is one client account.
type ReportAccount struct {
	Account string `json:"account"`
	// Guaranteed is what it may have at any moment, Used what runs in that,
	// Borrowed what runs beside it, and Owed what has no place now.
	Guaranteed int `json:"guaranteed"`
	Used       int `json:"used"`
	Borrowed   int `json:"borrowed"`
	Unplaced   int `json:"owed"`
	// Evictions of its gangs since the planner's term began, and what they lost.
	Evictions              int           `json:"evictions"`
	LostAcceleratorSeconds float64       `json:"lost_accelerator_seconds"`
	Classes                []ReportClass `json:"classes"`
}

// ReportClass is the jobs of one client account and class.
type ReportClass struct {
	Class               string `json:"class"`
	Running             int    `json:"running"`
	RunningAccelerators int    `json:"running_accelerators"`
	Waiting             int    `json:"waiting"`
	WaitingAccelerators int    `json:"waiting_accelerators"`
	// Withheld jobs wait too, but not for a place: for the store, or for word of what
	// an earlier planner started.
	Withheld int `json:"withheld,omitempty"`
	// LongestWait is how long the job that waits longest has waited.
	LongestWait Duration `json:"oldest"`
	// WaitTimes is the waits of jobs from acceptance to first start, since the start
	// of the planner's entry.
	WaitTimes WaitTimes `json:"waited"`
}

// WaitTimes is a histogram of waiting times in short.
type WaitTimes struct {
	Count int64    `json:"count"`
	P50   Duration `json:"p50"`
	P90   Duration `json:"p90"`
	P99   Duration `json:"p99"`
	Max   Duration `json:"max"`
}
