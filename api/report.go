package api

import "time"

// Report is the planner's view of a service, for operators and client accounts. Counts are
// of accelerators unless stated otherwise.
type Report struct {
	Service string `json:"service"`
	// Planner is the entry that plans the service.
	Planner ReportPlanner `json:"planner"`
	// CreatedAt is when the planner created the report, Age the report's age when it was
	// sent, by the planner's clock. DecidedAt is the time of the last decision.
	CreatedAt time.Time `json:"at"`
	Age       Duration  `json:"age"`
	DecidedAt time.Time `json:"decided"`
	// Settling is set while records or workers are still arriving after a change of
	// planner.
	Settling bool `json:"settling,omitempty"`
	// StoreUnavailable is set if the platform's store did not answer the planner or its
	// entry. Meanwhile only jobs that have a permit start.
	StoreUnavailable bool            `json:"store_out,omitempty"`
	Capacity         ReportCapacity  `json:"capacity"`
	Workers          ReportWorkers   `json:"workers"`
	Accounts         []ReportAccount `json:"accounts"`
}

// ReportPlanner identifies the planner of a service.
type ReportPlanner struct {
	Entry      string    `json:"entry"`
	Region     string    `json:"region"`
	Epoch      uint64    `json:"epoch"`
	Since      time.Time `json:"since,omitzero"`
	Generation uint64    `json:"generation"`
}

// ReportCapacity counts the accelerators of the workers that accept work.
type ReportCapacity struct {
	Accelerators int `json:"accelerators"`
	// Free accelerators are held by no attempt; Reserved ones are part of them.
	Free     int `json:"free"`
	Reserved int `json:"reserved"`
	// Fragmentation is the number of free accelerators in pieces too small for the waiting
	// jobs, averaged over these jobs weighted by size.
	Fragmentation float64 `json:"fragmentation"`
	// FreeUnits counts, for each adjacency, the units by the number of accelerators that
	// any job could take now. Workers and racks are listed by decreasing number.
	FreeUnits map[Adjacency][]FreeUnits `json:"free_units"`
	// Evicting is the number of evictions in progress.
	Evicting int `json:"evicting"`
}

// FreeUnits is the number of units that have Free free accelerators each.
type FreeUnits struct {
	Free  int `json:"free"`
	Units int `json:"units"`
}

// ReportWorkers groups the workers by state. Each list may be truncated.
type ReportWorkers struct {
	Usable      int        `json:"usable"`
	Quarantined WorkerList `json:"quarantined"`
	Draining    WorkerList `json:"draining"`
	Lost        WorkerList `json:"lost"`
}

// WorkerList is the number of workers in a state, and the first of them.
type WorkerList struct {
	Count   int            `json:"count"`
	Workers []WorkerStatus `json:"workers,omitempty"`
}

// WorkerStatus is a worker that gets no new work. Since is when it was lost, Until when
// its quarantine ends.
type WorkerStatus struct {
	ID      string    `json:"id"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	Probing bool      `json:"probing,omitempty"`
}

// ReportAccount is the usage of one client account.
type ReportAccount struct {
	Account string `json:"account"`
	// Guaranteed is the account's guarantee, Used what runs within it, Borrowed what runs
	// beyond it, and Unplaced the part of it that has no place now.
	Guaranteed int `json:"guaranteed"`
	Used       int `json:"used"`
	Borrowed   int `json:"borrowed"`
	Unplaced   int `json:"owed"`
	// Evictions counts the evictions of the account's gangs since the planner's term
	// began, and LostAcceleratorSeconds the work that they lost.
	Evictions              int           `json:"evictions"`
	LostAcceleratorSeconds float64       `json:"lost_accelerator_seconds"`
	Classes                []ReportClass `json:"classes"`
}

// ReportClass counts the jobs of one client account and class.
type ReportClass struct {
	Class               string `json:"class"`
	Running             int    `json:"running"`
	RunningAccelerators int    `json:"running_accelerators"`
	Waiting             int    `json:"waiting"`
	WaitingAccelerators int    `json:"waiting_accelerators"`
	// Withheld jobs wait for the store or for the outcome of an earlier planner's start,
	// not for capacity.
	Withheld int `json:"withheld,omitempty"`
	// LongestWait is the wait so far of the job that has waited longest.
	LongestWait Duration `json:"oldest"`
	// WaitTimes summarizes the time from acceptance to first start, since the start of the
	// planner's entry.
	WaitTimes WaitTimes `json:"waited"`
}

// WaitTimes summarizes a histogram of waiting times.
type WaitTimes struct {
	Count int64    `json:"count"`
	P50   Duration `json:"p50"`
	P90   Duration `json:"p90"`
	P99   Duration `json:"p99"`
	Max   Duration `json:"max"`
}
